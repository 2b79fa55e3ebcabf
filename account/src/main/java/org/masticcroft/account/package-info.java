/**
 * The audit account: which model served which request, and why. Processes append signed batches of audit records to the
 * log; auditors export them to a file, verify it and report on it.
 *
 * <p>Start with {@link org.masticcroft.account.writer.LogAccountWriter} for writing and with
 * {@link org.masticcroft.account.export.AccountExport} for auditing.
 */
package org.masticcroft.account;
