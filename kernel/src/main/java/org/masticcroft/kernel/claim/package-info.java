/** At-most-once execution: idempotency keys and the fold of the claim stream into the owner and state of each key. */
package org.masticcroft.kernel.claim;
