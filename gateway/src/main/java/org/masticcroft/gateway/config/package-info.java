/** Configuration of the fleet as an entry uses it: routes, services, customers and limits. */
package org.masticcroft.gateway.config;
