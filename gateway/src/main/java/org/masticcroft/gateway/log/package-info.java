/**
 * The structured log of a process, which states each decision with the values that it was based on. Start reading with
 * {@link org.masticcroft.gateway.log.DecisionLog}.
 */
package org.masticcroft.gateway.log;
