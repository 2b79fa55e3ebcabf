/**
 * The entry and the sidecar for instances without a disk. All state of a process is confined to its single event loop.
 *
 * <p>Start reading with {@link org.masticcroft.gateway.node.EntryNode}, the process in front of the callers, and
 * {@link org.masticcroft.gateway.node.SidecarNode}, the process beside an engine.
 */
package org.masticcroft.gateway;
