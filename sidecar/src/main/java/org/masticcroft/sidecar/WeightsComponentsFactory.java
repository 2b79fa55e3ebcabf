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
import org.masticcroft.sidecar.fetch.ChunkFetcherFactory;
import org.masticcroft.sidecar.fetch.SwarmMembers;
import org.masticcroft.sidecar.fetch.TokenBucket;
import org.masticcroft.sidecar.lease.LeaseHolder;
import org.masticcroft.sidecar.lease.LeaseRecord;
import org.masticcroft.sidecar.target.EngineCommands;
import org.masticcroft.sidecar.target.EngineMonitor;
import org.masticcroft.sidecar.target.ManifestCache;
import org.masticcroft.sidecar.target.Reconciler;
import org.masticcroft.sidecar.target.WeightsUsageTracker;
import org.masticcroft.sidecar.upload.ChunkUploads;
import org.masticcroft.sidecar.upload.HeldChunks;

/** Creates the {@link WeightsComponents} of a sidecar beside an engine. */
final class WeightsComponentsFactory {
    /** A chunk of 1 MiB takes several seconds if several sidecars fetch from the store over the same 12 Mbit/s link. */
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(15);

    private final SidecarSettings settings;
    private final SidecarModule.Dependencies dependencies;
    private final HttpClient client;
    private final EngineClient engine;
    private final WeightsUsageTracker weightsUsage;
    private final PlacementPlanner placement;
    private final Function<String, FetchPlanner> fetchPlanners;

    WeightsComponentsFactory(
            SidecarSettings settings,
            SidecarModule.Dependencies dependencies,
            HttpClient client,
            EngineClient engine,
            WeightsUsageTracker weightsUsage,
            PlacementPlanner placement,
            Function<String, FetchPlanner> fetchPlanners) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        this.client = Objects.requireNonNull(client, "client");
        this.engine = Objects.requireNonNull(engine, "engine");
        this.weightsUsage = Objects.requireNonNull(weightsUsage, "weightsUsage");
        this.placement = Objects.requireNonNull(placement, "placement");
        this.fetchPlanners = Objects.requireNonNull(fetchPlanners, "fetchPlanners");
    }

    WeightsComponents create() {
        SidecarThreads threads = dependencies.background().threads();
        WeightSource source = weightSource();
        ManifestCache manifests = ManifestCache.of(source, threads.control(), dependencies.time());
        EngineMonitor monitor = EngineMonitor.of(engine, dependencies.time());
        LeaseHolder lease = lease();
        ChunkFetcher fetcher = fetcher(source, manifests);
        HeldChunks held = HeldChunks.of(monitor, manifests, fetcher);
        return new WeightsComponents(
                monitor,
                lease,
                reconciler(monitor, lease, manifests, fetcher),
                fetcher,
                held,
                new ChunkUploads(
                        engine,
                        held,
                        manifests,
                        TokenBucket.of(dependencies.time(), settings.network().uploadBytesPerSecond()),
                        settings.limits().uploadSlots(),
                        threads.uploads(),
                        dependencies.metrics()));
    }

    private WeightSource weightSource() {
        return FallbackWeightSource.of(
                dependencies.time(),
                settings.network().weightSources().stream()
                        .map(url -> HttpWeightSource.of(client, url, STORE_TIMEOUT))
                        .toList());
    }

    private LeaseHolder lease() {
        LeaseRecord own = LeaseRecord.original(
                settings.upstream().id(),
                settings.identity().instance(),
                settings.identity().incarnation());
        return LeaseHolder.of(
                dependencies.log(), dependencies.time(), dependencies.account(), own, settings.logRetention());
    }

    private ChunkFetcher fetcher(WeightSource source, ManifestCache manifests) {
        String self = settings.identity().instance();
        boolean storeIsRemote = !settings.network()
                .weightSourceRegion()
                .equals(settings.identity().region());
        return ChunkFetcherFactory.create(
                new ChunkFetcher.Environment(
                        self,
                        storeIsRemote,
                        settings.network().interRegionBytesPerSecond(),
                        SwarmMembers.of(dependencies.instances(), dependencies.config(), settings.identity()),
                        dependencies.background().threads().transfers(),
                        dependencies.time(),
                        // The shared generator is not thread-safe, so the fetcher has one of its own.
                        RandomSource.XO_RO_SHI_RO_128_PP.create(
                                dependencies.random().nextLong()),
                        dependencies.metrics(),
                        dependencies.background().reconcileTrigger()),
                source,
                manifests,
                engine,
                dependencies.peers(),
                () -> fetchPlanners.apply(
                        dependencies.config().state().config().policies().rollout()));
    }

    private Reconciler reconciler(
            EngineMonitor monitor, LeaseHolder lease, ManifestCache manifests, ChunkFetcher fetcher) {
        EngineCommands commands = new EngineCommands(
                engine,
                lease,
                dependencies.config(),
                dependencies.account(),
                dependencies.time(),
                dependencies.metrics(),
                settings.upstream().id());
        return new Reconciler(
                settings.upstream().group(),
                dependencies.config(),
                monitor,
                lease,
                commands,
                placement,
                manifests,
                fetcher,
                weightsUsage);
    }
}
