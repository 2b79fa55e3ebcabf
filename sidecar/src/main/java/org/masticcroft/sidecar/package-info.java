/**
 * The sidecar of an upstream: fetches and loads the weights of the engine, serves chunks to other sidecars, and runs
 * the requests that entries dispatch. Start reading with {@link org.masticcroft.sidecar.SidecarRole}.
 *
 * <p>Lock order over all packages: {@code Reconciler}, {@code LeaseHolder}, {@code ChunkFetcher}, {@code PeerTable},
 * {@code TokenBucket}; and independently of these {@code SlotTable}, then {@code ActiveDispatch}. {@code Reconciler}
 * and {@code LeaseHolder} hold their locks during I/O and are called by timer threads only.
 */
package org.masticcroft.sidecar;
