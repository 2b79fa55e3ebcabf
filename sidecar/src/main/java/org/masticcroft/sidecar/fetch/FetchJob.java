package org.masticcroft.sidecar.fetch;

import java.util.BitSet;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.masticcroft.ports.weights.Manifest;

/** The fetch of one set of weights into one incarnation of the engine. Guarded by the lock of {@link ChunkFetcher}. */
final class FetchJob {
    final Manifest manifest;
    final String incarnation;
    final long startNanos;
    /** Verified and staged chunks. */
    final BitSet held;

    /** Chunks that are being transferred or verified. */
    final Set<Integer> inProgress = new HashSet<>();
    /** Chunks that the engine reported as staged when the job was created, and that are not verified yet. */
    final BitSet unverified;

    int remoteInProgress;
    long lastProgressNanos;
    /** Read without the lock by transfers, which stop early once their job has ended. */
    volatile boolean ended;

    FetchJob(Manifest manifest, String incarnation, BitSet stagedChunks, long nowNanos) {
        this.manifest = Objects.requireNonNull(manifest, "manifest");
        this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
        this.held = new BitSet(manifest.chunkCount());
        this.unverified = Objects.requireNonNull(stagedChunks, "stagedChunks");
        this.startNanos = nowNanos;
        this.lastProgressNanos = nowNanos;
    }

    boolean isComplete() {
        return held.cardinality() == manifest.chunkCount();
    }
}
