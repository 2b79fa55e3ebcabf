/**
 * Summarises an exported account as text, CSV or HTML.
 *
 * <p>Start with {@link org.masticcroft.account.report.AccountReport}.
 */
package org.masticcroft.account.report;
