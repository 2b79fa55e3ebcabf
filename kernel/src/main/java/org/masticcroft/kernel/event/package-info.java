/**
 * Numbered, structured log events.
 *
 * <p>Start with {@link org.masticcroft.kernel.event.Event}, which lists them; {@link
 * org.masticcroft.kernel.event.EventLog} writes them to the log.
 */
package org.masticcroft.kernel.event;
