/** The history of a run: requests, their outcomes and marks set by scripts, as JSON lines. */
package org.masticcroft.harness.history;
