/**
 * At-most-once execution of orders. Entries write claims and outcomes of idempotency keys to a stream of the log; every
 * reader folds the stream into the owner and state of each key. Start with
 * {@link org.masticcroft.kernel.claim.ClaimTable}.
 */
package org.masticcroft.kernel.claim;
