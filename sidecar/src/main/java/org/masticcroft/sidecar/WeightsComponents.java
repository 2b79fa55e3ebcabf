package org.masticcroft.sidecar;

import java.util.Objects;
import org.masticcroft.sidecar.fetch.ChunkFetcher;
import org.masticcroft.sidecar.lease.LeaseHolder;
import org.masticcroft.sidecar.target.EngineMonitor;
import org.masticcroft.sidecar.target.Reconciler;
import org.masticcroft.sidecar.upload.ChunkUploads;
import org.masticcroft.sidecar.upload.HeldChunks;

/**
 * The components of a sidecar that manage the weights of an engine; a sidecar of a plain service has none.
 *
 * @param monitor polls the state of the engine
 * @param lease the lease on the upstream
 * @param reconciler reconciles the engine with the configuration
 * @param fetcher fetches chunks into the engine
 * @param held the chunks that the engine holds
 * @param uploads serves chunks to peers
 */
public record WeightsComponents(
        EngineMonitor monitor,
        LeaseHolder lease,
        Reconciler reconciler,
        ChunkFetcher fetcher,
        HeldChunks held,
        ChunkUploads uploads) {
    /** Rejects nulls. */
    public WeightsComponents {
        Objects.requireNonNull(monitor, "monitor");
        Objects.requireNonNull(lease, "lease");
        Objects.requireNonNull(reconciler, "reconciler");
        Objects.requireNonNull(fetcher, "fetcher");
        Objects.requireNonNull(held, "held");
        Objects.requireNonNull(uploads, "uploads");
    }
}
