package org.masticcroft.sidecar;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.Objects;
import java.util.function.Function;
import org.apache.commons.rng.simple.RandomSource;
import org.masticcroft.kernel.placement.PlacementPlanner;
import org.masticcroft.kernel.rollout.FetchPlanner;
import org.masticcroft.ports.engine.EngineClient;
import org.masticcroft.ports.weights.FallbackWeightSource;
import org.masticcroft.ports.weights.HttpWeightSource;
import org.masticcroft.ports.weights.WeightSource;
import org.masticcroft.sidecar.fetch.ChunkFetcher;
import org.masticcroft.sidecar.fetch.FetcherAssembly;
import org.masticcroft.sidecar.fetch.Members;
import org.masticcroft.sidecar.fetch.TokenBucket;
import org.masticcroft.sidecar.lease.LeaseHolder;
import org.masticcroft.sidecar.lease.LeaseRecord;
import org.masticcroft.sidecar.target.EngineCommands;
import org.masticcroft.sidecar.target.EngineMonitor;
import org.masticcroft.sidecar.target.ManifestCache;
import org.masticcroft.sidecar.target.Reconciler;
import org.masticcroft.sidecar.target.WeightsUse;
import org.masticcroft.sidecar.upload.ChunkUploads;
import org.masticcroft.sidecar.upload.HeldChunks;

/** Builds the parts that exist only beside an engine. */
final class WeightsAssembly {
    /** A chunk of 1 MiB from a store that shares a link of 12 Mbit/s among several owners takes several seconds. */
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(15);

    private final SidecarSettings settings;
    private final SidecarModule.Shared shared;
    private final HttpClient client;
    private final EngineClient engine;
    private final WeightsUse use;
    private final PlacementPlanner placement;
    private final Function<String, FetchPlanner> fetchPlanners;

    WeightsAssembly(
            SidecarSettings settings,
            SidecarModule.Shared shared,
            HttpClient client,
            EngineClient engine,
            WeightsUse use,
            PlacementPlanner placement,
            Function<String, FetchPlanner> fetchPlanners) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.shared = Objects.requireNonNull(shared, "shared");
        this.client = Objects.requireNonNull(client, "client");
        this.engine = Objects.requireNonNull(engine, "engine");
        this.use = Objects.requireNonNull(use, "use");
        this.placement = Objects.requireNonNull(placement, "placement");
        this.fetchPlanners = Objects.requireNonNull(fetchPlanners, "fetchPlanners");
    }

    WeightsSide build() {
        SidecarThreads threads = shared.local().threads();
        WeightSource source = source();
        ManifestCache manifests = ManifestCache.of(source, threads.control(), shared.time());
        EngineMonitor monitor = EngineMonitor.of(engine, shared.time());
        LeaseHolder lease = lease();
        ChunkFetcher fetcher = fetcher(source, manifests);
        HeldChunks held = HeldChunks.of(monitor, manifests, fetcher);
        return new WeightsSide(
                monitor,
                lease,
                reconciler(monitor, lease, manifests, fetcher),
                fetcher,
                held,
                new ChunkUploads(
                        engine,
                        held,
                        manifests,
                        TokenBucket.of(shared.time(), settings.network().uploadBytesPerSecond()),
                        settings.limits().uploadSlots(),
                        threads.uploads(),
                        shared.metrics()));
    }

    private WeightSource source() {
        return FallbackWeightSource.of(
                shared.time(),
                settings.network().weightSources().stream()
                        .map(url -> HttpWeightSource.of(client, url, STORE_TIMEOUT))
                        .toList());
    }

    private LeaseHolder lease() {
        LeaseRecord own = LeaseRecord.original(
                settings.upstream().id(),
                settings.identity().instance(),
                settings.identity().incarnation());
        return LeaseHolder.of(shared.log(), shared.time(), shared.account(), own, settings.logRetention());
    }

    private ChunkFetcher fetcher(WeightSource source, ManifestCache manifests) {
        String self = settings.identity().instance();
        boolean storeIsRemote = !settings.network()
                .weightSourceRegion()
                .equals(settings.identity().region());
        return FetcherAssembly.fetcher(
                new ChunkFetcher.Environment(
                        self,
                        storeIsRemote,
                        settings.network().interRegionBytesPerSecond(),
                        Members.of(shared.instances(), shared.config(), settings.identity()),
                        shared.local().threads().transfers(),
                        shared.time(),
                        // The generator of the binary is not thread-safe.
                        RandomSource.XO_RO_SHI_RO_128_PP.create(shared.random().nextLong()),
                        shared.metrics(),
                        shared.local().wakeup()),
                source,
                manifests,
                engine,
                shared.peers(),
                () -> fetchPlanners.apply(
                        shared.config().state().config().policies().rollout()));
    }

    private Reconciler reconciler(
            EngineMonitor monitor, LeaseHolder lease, ManifestCache manifests, ChunkFetcher fetcher) {
        EngineCommands commands = new EngineCommands(
                engine,
                lease,
                shared.config(),
                shared.account(),
                shared.time(),
                shared.metrics(),
                settings.upstream().id());
        return new Reconciler(
                settings.upstream().group(),
                shared.config(),
                monitor,
                lease,
                commands,
                placement,
                manifests,
                fetcher,
                use);
    }
}
