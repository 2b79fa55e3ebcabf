/**
 * Handles one request of a caller, from its arrival to its final response. Start reading with
 * {@link org.masticcroft.gateway.exchange.Exchange}.
 */
package org.masticcroft.gateway.exchange;
