/**
 * Follows the configuration in force in the log and among the peers.
 *
 * <p>Lock order in {@link org.masticcroft.ports.config.ConfigTracker}: the lock of the notifications before the lock
 * of the fold. Listeners run under the lock of the notifications; they must not wait for another thread that reads or
 * adopts a configuration.
 */
package org.masticcroft.ports.config;
