/**
 * The two roles that a process can run in. {@link org.masticcroft.gateway.node.EntryNode} admits requests of callers
 * and routes them to upstreams; {@link org.masticcroft.gateway.node.SidecarNode} supplies the engine beside it with
 * weights and reports its load. Start reading with {@code EntryNode}.
 */
package org.masticcroft.gateway.node;
