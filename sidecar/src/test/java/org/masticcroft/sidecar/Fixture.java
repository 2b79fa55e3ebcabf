package org.masticcroft.sidecar;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.apache.commons.rng.simple.RandomSource;
import org.masticcroft.account.record.AuditRecord;
import org.masticcroft.account.writer.AccountWriter;
import org.masticcroft.kernel.config.ConfigState;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.kernel.config.DeploymentConfig;
import org.masticcroft.kernel.config.FleetConfig;
import org.masticcroft.kernel.config.ModelConfig;
import org.masticcroft.kernel.config.VersionConfig;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.placement.SideBySidePlanner;
import org.masticcroft.kernel.rollout.RegionalSwarmPlanner;
import org.masticcroft.kernel.time.ManualTimeSource;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.log.InMemoryLogService;
import org.masticcroft.ports.weights.Manifest;
import org.masticcroft.ports.weights.WeightSource;
import org.masticcroft.sidecar.fetch.ChunkFetcher;
import org.masticcroft.sidecar.fetch.ChunkFetcherFactory;
import org.masticcroft.sidecar.fetch.SwarmMembers;
import org.masticcroft.sidecar.lease.LeaseHolder;
import org.masticcroft.sidecar.lease.LeaseRecord;
import org.masticcroft.sidecar.target.EngineCommands;
import org.masticcroft.sidecar.target.EngineMonitor;
import org.masticcroft.sidecar.target.ManifestCache;
import org.masticcroft.sidecar.target.Reconciler;
import org.masticcroft.sidecar.target.WeightsUsageTracker;
import org.masticcroft.wire.PeerCall;
import org.masticcroft.wire.PeerCallListener;
import org.masticcroft.wire.PeerClient;
import org.masticcroft.wire.generated.Envelope;

/** In-memory environment of sidecars. The clock is manual, and everything runs on the thread of the test. */
public final class Fixture {
    public static final Duration LOG_RETENTION = Duration.ofHours(4);
    public final ManualTimeSource time = ManualTimeSource.of(Instant.parse("2026-01-01T00:00:00Z"));
    public final InMemoryLogService log = InMemoryLogService.of(time);
    public final FakeEngine engine = new FakeEngine();
    public final FakeStore store = new FakeStore();
    public final FakePeers peers = new FakePeers();
    public final List<AuditRecord> records = new ArrayList<>();
    public final MetricRegistry metrics = new MetricRegistry();
    public final List<Instance> instances = new ArrayList<>();
    public final FixedConfig config = new FixedConfig();
    public final AccountWriter account = new AccountWriter() {
        @Override
        public void write(AuditRecord record) {
            records.add(record);
        }

        @Override
        public void close() {}
    };

    /** The components of a sidecar process beside the engine, without network and threads. */
    public final class Sidecar {
        public final EngineMonitor monitor = EngineMonitor.of(engine, time);
        public final WeightsUsageTracker weightsUsage = WeightsUsageTracker.empty();
        public final LeaseHolder lease;
        public final ChunkFetcher fetcher;
        public final Reconciler reconciler;

        private Sidecar(String incarnation) {
            lease = LeaseHolder.of(log, time, account, LeaseRecord.original("e-1", "s-1", incarnation), LOG_RETENTION);
            ManifestCache manifests = ManifestCache.of(store, Runnable::run, time);
            SidecarSettings.Identity self = new SidecarSettings.Identity("s-1", incarnation, "r1", "d1");
            fetcher = ChunkFetcherFactory.create(
                    new ChunkFetcher.Environment(
                            "s-1",
                            false,
                            1 << 20,
                            SwarmMembers.of(() -> instances, config, self),
                            Runnable::run,
                            time,
                            RandomSource.XO_RO_SHI_RO_128_PP.create(7),
                            metrics,
                            () -> {}),
                    store,
                    manifests,
                    engine,
                    peers,
                    RegionalSwarmPlanner::new);
            EngineCommands commands = new EngineCommands(engine, lease, config, account, time, metrics, "e-1");
            reconciler = new Reconciler(
                    "g", config, monitor, lease, commands, new SideBySidePlanner(), manifests, fetcher, weightsUsage);
        }

        /** Advances the clock by {@code duration}; reconciles every 2 s and fetches twice a second. */
        public Sidecar run(Duration duration) {
            for (long i = 0; i < duration.toMillis() / 500; i++) {
                if (i % 4 == 0) {
                    reconciler.run();
                }
                fetcher.scheduleTransfers();
                time.advance(Duration.ofMillis(500));
            }
            reconciler.run();
            return this;
        }
    }

    public Sidecar sidecar(String incarnation) {
        return new Sidecar(incarnation);
    }

    /** Adds a version of the model to the store and to the configuration, and deploys it. */
    public void deploy(Weights weights) {
        store.versions.put(weights.manifest().version(), weights);
        Map<String, VersionConfig> versions = new TreeMap<>();
        store.versions.forEach((name, known) -> versions.put(
                name,
                new VersionConfig(known.manifest().digest(), known.manifest().size())));
        DeploymentConfig deployment =
                new DeploymentConfig("m", weights.manifest().version(), "g", null, null);
        config.state = new ConfigState(
                config.state.version() + 1,
                new FleetConfig(
                        null,
                        null,
                        null,
                        new TreeMap<>(Map.of("m", ModelConfig.of(versions))),
                        new TreeMap<>(Map.of("chat", deployment)),
                        null,
                        null,
                        null,
                        null),
                0);
    }

    /** Adds another sidecar of the region, whose engine belongs to the same upstream group. */
    public void addPeer(String id, int port, Function<Envelope, Optional<Envelope>> handler) {
        instances.add(new Instance(
                id,
                Instance.Role.SIDECAR,
                "r1",
                "d1",
                "127.0.0.1",
                0,
                0,
                port,
                Instance.State.LIVE,
                Optional.of(new Instance.Upstream("e-" + id, Instance.Kind.ENGINE, "g"))));
        peers.handlers.put(port, handler);
    }

    /** Configuration whose state and age are set by the test. */
    public static final class FixedConfig implements ConfigView {
        public ConfigState state = ConfigState.empty();
        public Duration age = Duration.ZERO;

        @Override
        public ConfigState state() {
            return state;
        }

        @Override
        public Duration age() {
            return age;
        }
    }

    /** In-memory weight store. */
    public static final class FakeStore implements WeightSource {
        public final Map<String, Weights> versions = new TreeMap<>();
        public final List<Integer> fetchedChunks = new ArrayList<>();
        public int corruptNextReads;
        public int failAfterReads = Integer.MAX_VALUE;

        @Override
        public Manifest manifest(String model, String version, WeightsDigest expected) {
            return versions.get(version).manifest();
        }

        @Override
        public byte[] chunk(Manifest manifest, int index) {
            if (fetchedChunks.size() >= failAfterReads) {
                throw MasticcroftException.notRun(ErrorCode.UPSTREAM_FAILED, "weight store is unavailable");
            }
            fetchedChunks.add(index);
            byte[] data = versions.get(manifest.version()).chunks().get(index).clone();
            if (corruptNextReads > 0) {
                corruptNextReads--;
                data[0] ^= 1;
            }
            return data;
        }
    }

    /** Peers that reply at once; a call to a peer whose handler returns empty fails as if the connection were lost. */
    public static final class FakePeers implements PeerClient {
        private final Map<Integer, Function<Envelope, Optional<Envelope>>> handlers = new HashMap<>();

        @Override
        public PeerCall open(InetSocketAddress address, Envelope.Builder request, PeerCallListener listener) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Envelope> call(InetSocketAddress address, Envelope.Builder request, Duration timeout) {
            return handlers.get(address.getPort())
                    .apply(request.build())
                    .map(CompletableFuture::completedFuture)
                    .orElseGet(() -> CompletableFuture.failedFuture(MasticcroftException.of(
                            ErrorCode.PEER_UNREACHABLE, Verdict.MAY_HAVE_RUN, "connection lost")));
        }

        @Override
        public void close() {}
    }
}
