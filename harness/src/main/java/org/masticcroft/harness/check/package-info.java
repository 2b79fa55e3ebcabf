/**
 * Checks of the invariants against a history and the ledgers. Start reading with {@link
 * org.masticcroft.harness.check.Report}.
 */
package org.masticcroft.harness.check;
