/**
 * Decides when a request that waits for its first byte is sent to a second upstream as well, and limits how often.
 * Start reading with {@link org.masticcroft.gateway.hedge.HedgePolicy}.
 */
package org.masticcroft.gateway.hedge;
