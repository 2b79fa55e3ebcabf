/**
 * Executions as recorded by engines and plain services. Start reading with {@link
 * org.masticcroft.harness.ledger.LedgerReader}.
 */
package org.masticcroft.harness.ledger;
