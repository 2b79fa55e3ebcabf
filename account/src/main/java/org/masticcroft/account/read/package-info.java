/**
 * Reads the account directly from the log.
 *
 * <p>Start with {@link org.masticcroft.account.read.AccountReader}.
 */
package org.masticcroft.account.read;
