/** One request of a caller, from arrival to final answer. */
package org.masticcroft.gateway.exchange;
