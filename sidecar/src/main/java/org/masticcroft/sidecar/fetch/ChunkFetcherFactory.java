package org.masticcroft.sidecar.fetch;

import org.apache.commons.rng.simple.RandomSource;
import org.masticcroft.ports.engine.EngineClient;
import org.masticcroft.ports.weights.WeightSource;
import org.masticcroft.sidecar.target.ManifestCache;
import org.masticcroft.wire.PeerClient;

/** Creates a {@link ChunkFetcher} with its collaborators. */
public final class ChunkFetcherFactory {
    private ChunkFetcherFactory() {}

    /** Creates a fetcher that reads from {@code store} and from peers and stages into {@code engine}. */
    public static ChunkFetcher create(
            ChunkFetcher.Environment environment,
            WeightSource store,
            ManifestCache manifests,
            EngineClient engine,
            PeerClient client,
            ChunkFetcher.PlannerSupplier planner) {
        PeerTable peers = new PeerTable(environment.time());
        // The generators are not thread-safe: the exchange and the planner each have their own.
        BitmapExchange exchange = new BitmapExchange(
                environment.members(),
                peers,
                client,
                environment.time(),
                RandomSource.XO_RO_SHI_RO_128_PP.create(environment.random().nextLong()));
        return new ChunkFetcher(
                manifests,
                engine,
                new ChunkTransfer(store, client, peers, environment.metrics()),
                peers,
                exchange,
                planner,
                TokenBucket.of(environment.time(), environment.interRegionBytesPerSecond()),
                environment);
    }
}
