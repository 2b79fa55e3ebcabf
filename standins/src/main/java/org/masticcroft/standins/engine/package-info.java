/**
 * Stand-in of a model engine with deterministic answers. Start with {@link
 * org.masticcroft.standins.engine.EngineStandIn}.
 *
 * <p>Locks: {@code WeightsMemory}, {@code SlotQueue}, {@code PrefixCache} and {@code RunningRequests} each guard
 * their own state with one lock and call none of the other three while holding it.
 */
package org.masticcroft.standins.engine;
