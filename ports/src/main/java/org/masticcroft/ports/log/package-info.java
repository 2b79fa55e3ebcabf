/**
 * Client of the platform's append-only log service. Start with {@link org.masticcroft.ports.log.LogService};
 * {@link org.masticcroft.ports.log.Streams} names the streams.
 */
package org.masticcroft.ports.log;
