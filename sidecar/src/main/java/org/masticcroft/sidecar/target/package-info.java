/**
 * The weights that the engine should hold, the weights that it holds, and the commands that bring the two together.
 *
 * <p>Lock order: {@code WeightsUse} and {@code EngineMonitor} are leaves; no other lock is taken while one is held.
 */
package org.masticcroft.sidecar.target;
