/**
 * Verifies exported accounts: file integrity, signatures, hash chains, record numbers and log offsets.
 *
 * <p>Start with {@link org.masticcroft.account.verify.AccountVerifier}.
 */
package org.masticcroft.account.verify;
