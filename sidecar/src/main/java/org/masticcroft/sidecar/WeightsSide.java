package org.masticcroft.sidecar;

import java.util.Objects;
import org.masticcroft.sidecar.fetch.ChunkFetcher;
import org.masticcroft.sidecar.lease.LeaseHolder;
import org.masticcroft.sidecar.target.EngineMonitor;
import org.masticcroft.sidecar.target.Reconciler;
import org.masticcroft.sidecar.upload.ChunkUploads;
import org.masticcroft.sidecar.upload.HeldChunks;

/**
 * The parts of a sidecar that exist only beside an engine.
 *
 * @param monitor newest state of the engine
 * @param lease the lease on the upstream
 * @param reconciler brings the engine to its target
 * @param fetcher fetches chunks
 * @param held the chunks that the engine holds
 * @param uploads serves chunks to peers
 */
public record WeightsSide(
        EngineMonitor monitor,
        LeaseHolder lease,
        Reconciler reconciler,
        ChunkFetcher fetcher,
        HeldChunks held,
        ChunkUploads uploads) {
    /** Rejects nulls. */
    public WeightsSide {
        Objects.requireNonNull(monitor, "monitor");
        Objects.requireNonNull(lease, "lease");
        Objects.requireNonNull(reconciler, "reconciler");
        Objects.requireNonNull(fetcher, "fetcher");
        Objects.requireNonNull(held, "held");
        Objects.requireNonNull(uploads, "uploads");
    }
}
