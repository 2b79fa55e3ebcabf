/**
 * Fetches weights chunk by chunk from peers and the weight store into the staging area of the engine. Start reading
 * with {@link org.masticcroft.sidecar.fetch.ChunkFetcher}.
 *
 * <p>Lock order: {@code ChunkFetcher}, then {@code PeerTable}, then {@code TokenBucket}. No lock is held during I/O.
 */
package org.masticcroft.sidecar.fetch;
