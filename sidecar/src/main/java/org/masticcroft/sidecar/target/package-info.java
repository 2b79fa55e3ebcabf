/**
 * Brings the weights that the engine has loaded in line with the configuration. Start reading with {@link
 * org.masticcroft.sidecar.target.Reconciler}.
 *
 * <p>Lock order: no other lock is taken while the lock of {@code WeightsUsageTracker} or {@code EngineMonitor} is held.
 */
package org.masticcroft.sidecar.target;
