/** Non-idempotent calls: claims of idempotency keys in the log, outcomes and stored answers. */
package org.masticcroft.entry.order;
