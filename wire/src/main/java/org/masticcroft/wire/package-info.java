/**
 * The peer protocol between the processes of masticcroft: calls that are multiplexed over TCP connections, with
 * protobuf messages in the package {@code generated}. Start with {@link org.masticcroft.wire.PeerClient} and
 * {@link org.masticcroft.wire.PeerHandler}.
 */
package org.masticcroft.wire;
