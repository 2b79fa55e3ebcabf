/**
 * Keeps the configuration of a process up to date from the log and from peers. Start with
 * {@link org.masticcroft.ports.config.ConfigTracker}.
 *
 * <p>Lock order in {@link org.masticcroft.ports.config.ConfigTracker}: {@code notificationLock} before
 * {@code foldLock}. Listeners run while {@code notificationLock} is held, so they must not wait for another thread that
 * reads or adopts a configuration.
 */
package org.masticcroft.ports.config;
