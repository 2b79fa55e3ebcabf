/** Ownership of idempotency keys, folded from the claim records of the log. */
package org.masticcroft.kernel.claim;
