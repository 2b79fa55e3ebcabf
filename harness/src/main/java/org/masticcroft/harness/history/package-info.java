/**
 * The history of a run as JSON lines: requests, their outcomes and marks written by scripts. Start reading with {@link
 * org.masticcroft.harness.history.History}.
 */
package org.masticcroft.harness.history;
