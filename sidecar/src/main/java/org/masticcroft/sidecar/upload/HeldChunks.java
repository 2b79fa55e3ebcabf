package org.masticcroft.sidecar.upload;

import java.util.BitSet;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.ports.engine.EngineState;
import org.masticcroft.ports.weights.Manifest;
import org.masticcroft.sidecar.fetch.ChunkFetcher;
import org.masticcroft.sidecar.target.EngineMonitor;
import org.masticcroft.sidecar.target.ManifestCache;

/** Determines which chunks can be read back from the engine, which keeps them staged after the weights are loaded. */
public final class HeldChunks {
    private final EngineMonitor monitor;
    private final ManifestCache manifests;
    private final ChunkFetcher fetcher;

    private HeldChunks(EngineMonitor monitor, ManifestCache manifests, ChunkFetcher fetcher) {
        this.monitor = monitor;
        this.manifests = manifests;
        this.fetcher = fetcher;
    }

    /** Creates the view of one engine. */
    public static HeldChunks of(EngineMonitor monitor, ManifestCache manifests, ChunkFetcher fetcher) {
        return new HeldChunks(
                Objects.requireNonNull(monitor, "monitor"),
                Objects.requireNonNull(manifests, "manifests"),
                Objects.requireNonNull(fetcher, "fetcher"));
    }

    /** Returns the chunks of these weights that can be read from the engine now. */
    public BitSet chunks(WeightsDigest digest) {
        Optional<EngineState> state = monitor.latest();
        if (state.isEmpty()) {
            return new BitSet();
        }
        return fetcher.held(digest).orElseGet(() -> staged(state.get(), digest));
    }

    /** Returns the number of all chunks of these weights; 0 if the manifest is not known. */
    public int chunkCount(WeightsDigest digest) {
        return manifests.find(digest).map(Manifest::chunkCount).orElse(0);
    }

    private static BitSet staged(EngineState state, WeightsDigest digest) {
        BitSet chunks = new BitSet();
        state.staged(digest)
                .ifPresent(weights ->
                        weights.chunks().stream().filter(index -> index >= 0).forEach(chunks::set));
        return chunks;
    }
}
