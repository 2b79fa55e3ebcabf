/**
 * The per-upstream role: brings weights into the engine, serves chunks to other sidecars, and runs dispatches.
 *
 * <p>Lock order over all packages: {@code Reconciler}, {@code LeaseHolder}, {@code ChunkFetcher}, {@code PeerTable},
 * {@code TokenBucket}; and apart from these {@code SlotTable}, then {@code ActiveDispatch}. {@code Reconciler} and
 * {@code LeaseHolder} hold their locks during I/O and are called by timer threads only.
 */
package org.masticcroft.sidecar;
