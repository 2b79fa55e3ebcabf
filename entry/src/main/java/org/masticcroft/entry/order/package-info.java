/**
 * At-most-once execution of orders: claims of idempotency keys and outcomes in the log, and the stored answers for
 * orders that are sent again.
 *
 * <p>Start reading with {@link org.masticcroft.entry.order.ClaimLog}.
 */
package org.masticcroft.entry.order;
