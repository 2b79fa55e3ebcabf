/**
 * The configuration of the fleet as an entry uses it: routes, services, customers and limits. Start reading with
 * {@link org.masticcroft.gateway.config.GatewayConfig}.
 */
package org.masticcroft.gateway.config;
