/**
 * Clients of the services around masticcroft: the log service, the weight store and the origin, the instance list, the
 * engines and the plain services. Each subpackage defines an interface and its implementation over HTTP.
 *
 * <p>Start with {@link org.masticcroft.ports.log.LogService} and {@link org.masticcroft.ports.config.ConfigTracker}.
 */
package org.masticcroft.ports;
