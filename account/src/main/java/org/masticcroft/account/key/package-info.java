/**
 * Ed25519 keys that sign and verify the batches of the account.
 *
 * <p>Start with {@link org.masticcroft.account.key.SigningKey}.
 */
package org.masticcroft.account.key;
