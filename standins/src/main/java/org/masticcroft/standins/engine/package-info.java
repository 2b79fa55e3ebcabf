/**
 * Stand-in of a model engine.
 *
 * <p>Locks: {@code WeightsMemory}, {@code SlotQueue}, {@code PrefixCache} and {@code RunningRequests} each guard
 * their own state with one lock and call no other of these classes while holding it.
 */
package org.masticcroft.standins.engine;
