package org.masticcroft.gateway.weights;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.masticcroft.gateway.config.GatewayConfig;
import org.masticcroft.gateway.fleet.FleetChange;
import org.masticcroft.gateway.generated.HeldPieces;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.metrics.ProcessMetrics;
import org.masticcroft.gateway.metrics.Series;
import org.masticcroft.gateway.metrics.WeightsMetrics;
import org.masticcroft.gateway.node.NodeDependencies;
import org.masticcroft.gateway.node.NodeSettings;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.rollout.FetchPlanner;
import org.masticcroft.kernel.rollout.RegionalSwarmPlanner;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Brings the newest named version of the weights onto the engine of this machine: fetches the manifest and the pieces,
 * stages them on the engine, verifies the staged pieces and orders the engine to load them. Every decision follows from
 * the newest report of the engine, so that after a restart of the sidecar or the engine the update starts again from
 * what the engine holds. Used on the event loop only.
 */
public final class WeightsUpdater {
    /** Version that engines have loaded before the operator names one. */
    private static final long INITIAL_VERSION = 1;

    /** Share of held pieces from which the target version is completed although a newer one was named. */
    private static final double NEARLY_COMPLETE_SHARE = 0.5;

    /** Share of pieces held anywhere in the fleet from which the same applies. */
    private static final double FLEET_COMPLETE_SHARE = 0.8;

    /** Time without a piece after which an older version is given up for a newer one. */
    private static final Duration STALLED_FETCH = Duration.ofMillis(1500);

    /** Number of copies of one piece with a wrong digest after which the manifest is fetched again. */
    private static final int DIGEST_MISMATCHES_BEFORE_REFETCH = 3;

    /** Number of pieces that a region fetches from outside at a time; a piece takes 27 ms on the link of the origin. */
    private static final int OUTSIDE_WINDOW = 32;

    /**
     * Settings of the fetch planner; the times are milliseconds without progress. After 800, and 500 more for each
     * further sidecar, the next sidecar takes over a piece, so that a dead machine does not delay its region. After
     * 6000, another region fetches from the origin; that is later than a crashed origin is back, because its outage
     * delays all regions alike and each further copy takes capacity of its link. After 1500, it does so if the region
     * of the origin announces no pieces.
     */
    private static final RegionalSwarmPlanner.Parameters PLANNER_SETTINGS =
            new RegionalSwarmPlanner.Parameters(OUTSIDE_WINDOW, 800, 500, 6000, 1500);

    private final NodeSettings settings;
    private final TimeSource time;
    private final DecisionLog log;
    private final LocalEngine engine;
    private final WeightsSources sources;
    private final Peers peers;
    private final FetchPlanner planner = RegionalSwarmPlanner.of(PLANNER_SETTINGS);
    private final UniformRandomProvider random;
    private final WeightsMetrics weightsMetrics;
    private final ManifestFetcher manifestFetcher;
    private final StagedPieceReader stagedReader;
    private final EngineLoader loader;
    private final Runnable onManifestFound;
    private final RegionTurns turns;
    private Optional<GatewayConfig> config = Optional.empty();
    private Optional<EngineReport> report = Optional.empty();
    private String model = "";
    private long newestNamed = INITIAL_VERSION;
    private long target;
    private Optional<VerifiedPieces> pieces = Optional.empty();

    /** Pieces of the version before the target, for other sidecars that still fetch it. */
    private Optional<VerifiedPieces> previousPieces = Optional.empty();

    private Optional<PieceFetcher> fetcher = Optional.empty();
    private Optional<EngineStaging> staging = Optional.empty();
    private final Map<Integer, Integer> digestMismatches = new HashMap<>();

    private WeightsUpdater(
            NodeSettings settings,
            NodeDependencies dependencies,
            LocalEngine engine,
            WeightsSources sources,
            ProcessMetrics metrics,
            Runnable onManifestFound,
            Runnable onDoubt) {
        this.settings = settings;
        this.time = dependencies.time();
        this.log = dependencies.log();
        this.engine = engine;
        this.sources = sources;
        this.peers = Peers.of(time, settings.ip());
        this.random = new SplitMix64(dependencies.random().nextLong());
        this.onManifestFound = onManifestFound;
        this.manifestFetcher = new ManifestFetcher(time, log, sources, peers, random, settings.peerPort());
        this.weightsMetrics = WeightsMetrics.of(metrics);
        this.stagedReader = new StagedPieceReader(engine, log);
        this.loader = new EngineLoader(engine, time, log, weightsMetrics, onDoubt);
        this.turns = new RegionTurns(settings, peers, time, log);
        metrics.gauge(Series.of("masticcroft_weights_named_version"), () -> newestNamed);
        metrics.gauge(Series.of("masticcroft_weights_loaded_version"), this::loadedVersion);
        metrics.gauge(
                Series.of("masticcroft_weights_pieces_held"),
                () -> pieces.map(current -> current.bitmap().cardinality()).orElse(0));
    }

    /**
     * Creates an updater for the engine of this machine.
     *
     * @param settings settings of the process
     * @param dependencies shared components of the process
     * @param engine the engine
     * @param sources client of the origin and of the other sidecars
     * @param metrics metrics of the process
     * @param onManifestFound called when the manifest of a version has been fetched, so that it can be announced to
     *     peers
     * @param onDoubt called before an order is sent to the engine, so that entries can be told of the doubt
     */
    public static WeightsUpdater of(
            NodeSettings settings,
            NodeDependencies dependencies,
            LocalEngine engine,
            WeightsSources sources,
            ProcessMetrics metrics,
            Runnable onManifestFound,
            Runnable onDoubt) {
        return new WeightsUpdater(settings, dependencies, engine, sources, metrics, onManifestFound, onDoubt);
    }

    /** Applies a version of the configuration. */
    public void applyConfig(GatewayConfig published) {
        // A copy from which the store came back may hold an older configuration.
        if (config.isEmpty() || published.version() >= config.get().version()) {
            config = Optional.of(published);
        }
    }

    /** Keeps the known sidecars until they have had time to register again at a store that was restored. */
    public void storeRestored() {
        peers.storeRestored();
    }

    /** Records a version that the operator named. Its model becomes the model of this updater if none is known yet. */
    public void addNamedVersion(String namedModel, long version) {
        if (model.isEmpty()) {
            model = namedModel;
        }
        if (namedModel.equals(model) && version > newestNamed) {
            log.write(Event.WEIGHTS_NAMED, "model", model, "version", version, "previous", newestNamed);
            newestNamed = version;
            if (config.isPresent()) {
                turns.recordNamedVersion(model, version);
            } else {
                turns.recordVersionNamedBeforeStart(model, version);
            }
            tick();
        }
    }

    /** Looks for a pause of this process; to be called at short intervals. */
    public void checkPauses() {
        turns.checkPauses();
    }

    /** Returns the newest version that the operator named; empty if none was named. */
    public Optional<FleetChange.WeightsNamed> newestNamedVersion() {
        return newestNamed > INITIAL_VERSION
                ? Optional.of(new FleetChange.WeightsNamed(model, newestNamed))
                : Optional.empty();
    }

    /** Applies a full read of the list of upstreams. */
    public void applyUpstreams(List<FleetChange> changes, String service) {
        peers.applyUpstreams(changes, service);
    }

    /** Applies the announcement of pieces that another sidecar holds. */
    public void applyHeldPieces(Address sender, HeldPieces held) {
        addNamedVersion(held.getModel(), held.getVersion());
        peers.recordAnnouncement(sender, held);
        fetcher.ifPresent(PieceFetcher::onAnnouncement);
    }

    /**
     * Applies the doubt of an entry: the sidecar last reported that this process of the engine may have taken unsound
     * weights. That was an earlier process of the sidecar if this one has ordered nothing.
     */
    public void applyDoubt(long engineStartMillis) {
        loader.applyDoubt(engineStartMillis);
    }

    /** Applies a report of the engine. */
    public void applyReport(EngineReport newReport) {
        boolean restarted = report.isPresent() && report.get().startMillis() != newReport.startMillis();
        if (restarted) {
            log.write(Event.ENGINE_RESTARTED, "start", newReport.startMillis());
        }
        loader.applyReport(newReport);
        staging.ifPresent(EngineStaging::resume);
        boolean versionChanged =
                report.isEmpty() || !report.get().loadedVersion().equals(newReport.loadedVersion());
        if (versionChanged) {
            log.write(
                    newReport.loadedVersion().isPresent() ? Event.ENGINE_READY : Event.ENGINE_NOT_READY,
                    "version",
                    newReport.loadedVersion().isPresent()
                            ? newReport.loadedVersion().getAsLong()
                            : "none",
                    "orders",
                    newReport.ordersBegun());
        }
        report = Optional.of(newReport);
        if (model.isEmpty() && !newReport.model().isEmpty()) {
            model = newReport.model();
        }
    }

    /** Returns whether the list of the other sidecars is needed now. */
    public boolean needsPeers() {
        return report.isPresent() && (!upToDate() || peers.isEmpty());
    }

    /** Returns the IP addresses of the other sidecars. */
    public List<String> peerIps() {
        return peers.ips();
    }

    /** Takes the next step of the update that the newest report of the engine requires. */
    public void tick() {
        if (report.isEmpty() || config.isEmpty() || config.get().origin().isEmpty()) {
            return;
        }
        if (model.isEmpty()) {
            model = configuredModel();
        }
        updateTarget();
        if (pieces.isEmpty()) {
            if (!upToDate() || peers.anyIncomplete(model, target, Integer.MAX_VALUE)) {
                fetchManifest();
            }
            return;
        }
        if (upToDate()) {
            stagedReader.read(pieces.get(), () -> pieces.orElse(null));
            return;
        }
        startFetching();
        fetcher.ifPresent(PieceFetcher::startTransfers);
        orderLoad();
    }

    /** Returns the IP addresses of the other sidecars in the region of this one. */
    public List<String> regionPeerIps() {
        return peers.ips().stream().filter(this::isInOwnRegion).toList();
    }

    /** Returns the IP addresses of the sidecars in other regions. */
    public List<String> otherRegionPeerIps() {
        return peers.ips().stream().filter(ip -> !isInOwnRegion(ip)).toList();
    }

    private boolean isInOwnRegion(String ip) {
        return peers.isInRegion(ip, settings.regions(), settings.regionOf(settings.zone()));
    }

    /**
     * Returns the announcements of held pieces to the other sidecars; empty if no sidecar needs them.
     *
     * @param freeUploads uploads that this sidecar can start at once
     */
    public List<HeldPieces> heldPieces(int freeUploads) {
        List<HeldPieces> held = new ArrayList<>();
        previousPieces
                .filter(previous -> needsPieces(previous.manifest()))
                .ifPresent(previous -> held.add(announcement(previous, freeUploads)));
        pieces.filter(current -> !current.complete()
                        || !upToDate()
                        || peers.anyServesOlder(model, target)
                        || needsPieces(current.manifest()))
                .ifPresent(current -> held.add(announcement(current, freeUploads)));
        return held;
    }

    private boolean needsPieces(Manifest manifest) {
        return peers.anyIncomplete(model, manifest.version(), manifest.pieceCount());
    }

    private HeldPieces announcement(VerifiedPieces held, int freeUploads) {
        return HeldPieces.newBuilder()
                .setModel(model)
                .setVersion(held.manifest().version())
                .setBitmap(ByteString.copyFrom(held.bitmap().toByteArray()))
                .setFreeUploads(freeUploads)
                .setServedVersion(servedVersion())
                .build();
    }

    /** Returns the manifest or piece that another sidecar requests; empty if this one does not hold it. */
    public Optional<byte[]> read(PeerWeightsRequest request) {
        return pieces.filter(current -> current.isFor(request.model(), request.version()))
                .or(() -> previousPieces.filter(previous -> previous.isFor(request.model(), request.version())))
                .flatMap(current -> {
                    if (request.piece().isEmpty()) {
                        return Optional.of(PeerWeightsRequest.encode(current.manifest()));
                    }
                    int index = request.piece().getAsInt();
                    return current.bitmap().get(index) ? Optional.of(current.piece(index)) : Optional.empty();
                });
    }

    private String configuredModel() {
        return config.get().models().stream().findFirst().orElse("");
    }

    /** Returns whether the engine may hold unsound weights, so that it must get no requests. */
    public boolean loadInDoubt() {
        return loader.inDoubt();
    }

    /** Returns the version that the engine serves; 0 while it has none that is known to be sound. */
    private long servedVersion() {
        return loader.inDoubt() ? 0 : loadedVersion();
    }

    private long loadedVersion() {
        return report.map(EngineReport::loadedVersion)
                .orElse(OptionalLong.empty())
                .orElse(0);
    }

    private boolean upToDate() {
        return report.isPresent()
                && report.get().loadedVersion().isPresent()
                && report.get().loadedVersion().getAsLong() >= Math.max(target, INITIAL_VERSION)
                && report.get().loadedVersion().getAsLong() >= newestNamed;
    }

    private void updateTarget() {
        if (target == newestNamed || loader.needsStagedPieces()) {
            return;
        }
        if (pieces.isPresent() && finishesTarget(pieces.get())) {
            return;
        }
        log.write(Event.PLACEMENT_DECISION, "model", model, "version", newestNamed, "previous", target);
        target = newestNamed;
        previousPieces = pieces.or(() -> previousPieces);
        pieces = Optional.empty();
        fetcher.ifPresent(PieceFetcher::cancel);
        fetcher = Optional.empty();
        staging.ifPresent(EngineStaging::cancel);
        staging = Optional.empty();
        loader.cancelVerification();
        digestMismatches.clear();
        manifestFetcher.start(model, target);
    }

    /**
     * Returns whether the target version is finished although a newer one was named. Only the first half of a region
     * does so while its engines serve; the second half loads the newer version at once and so stops serving only once.
     */
    private boolean finishesTarget(VerifiedPieces current) {
        if (isLoaded(target) || loader.confirmed(target)) {
            return false;
        }
        if (servedVersion() > 0 && turns.half() == LoadTurn.Half.SECOND) {
            return false;
        }
        return current.complete() || completesSoon(current);
    }

    /** Returns whether most pieces are here, or nearly all are in the fleet, so that the origin is hardly needed. */
    private boolean completesSoon(VerifiedPieces current) {
        if (fetcher.isPresent() && fetcher.get().sinceProgress().compareTo(STALLED_FETCH) > 0) {
            return false;
        }
        int pieceCount = current.manifest().pieceCount();
        BitSet held = peers.heldByAny(model, target);
        held.or(current.bitmap());
        return current.bitmap().cardinality() >= NEARLY_COMPLETE_SHARE * pieceCount
                || held.cardinality() >= FLEET_COMPLETE_SHARE * pieceCount;
    }

    private boolean isLoaded(long version) {
        return report.isPresent()
                && report.get().loadedVersion().isPresent()
                && report.get().loadedVersion().getAsLong() == version;
    }

    private void fetchManifest() {
        String region = settings.regionOf(settings.zone());
        manifestFetcher.fetch(
                config.get().origin().orElseThrow(),
                originInOwnRegion(),
                new Peers.Region(region, settings.regions()),
                this::applyManifest);
    }

    private boolean originInOwnRegion() {
        return settings.regionOf(settings.zone())
                .equals(settings.regionOf(config.get().originZone()));
    }

    private void applyManifest(Manifest manifest) {
        if (pieces.isEmpty()) {
            pieces = Optional.of(VerifiedPieces.of(manifest));
            onManifestFound.run();
        } else if (!pieces.get().manifest().equals(manifest) && !loader.needsStagedPieces()) {
            replaceManifest(manifest);
        }
        digestMismatches.clear();
        tick();
    }

    /** Continues with another manifest of the same version and keeps the pieces that match it. */
    private void replaceManifest(Manifest manifest) {
        pieces = Optional.of(pieces.get().withManifest(manifest));
        fetcher.ifPresent(PieceFetcher::cancel);
        fetcher = Optional.empty();
        staging.ifPresent(EngineStaging::cancel);
        staging = Optional.empty();
    }

    /**
     * Fetches the manifest from the origin again after several copies of one piece did not match it, because its digest
     * of that piece may be corrupt.
     */
    private void recordDigestMismatch(int index) {
        if (digestMismatches.merge(index, 1, Integer::sum) >= DIGEST_MISMATCHES_BEFORE_REFETCH) {
            digestMismatches.clear();
            manifestFetcher.useOriginOnly();
            fetchManifest();
        }
    }

    private void startFetching() {
        if (fetcher.isPresent()) {
            return;
        }
        VerifiedPieces current = pieces.get();
        EngineStaging newStaging = new EngineStaging(engine, current, time, log, this::orderLoad);
        staging = Optional.of(newStaging);
        String region = settings.regionOf(settings.zone());
        fetcher = Optional.of(new PieceFetcher(
                current,
                new PieceFetcher.Topology(
                        settings.ip(),
                        settings.peerPort(),
                        region,
                        settings.regions(),
                        config.get().origin().orElseThrow(),
                        config.get().originConnections(),
                        originInOwnRegion()),
                planner,
                peers,
                sources,
                time,
                random,
                log,
                new FetchListener() {
                    @Override
                    public void fetched(int index, String source) {
                        weightsMetrics.fetched(source.equals(ORIGIN));
                        newStaging.add(index);
                    }

                    @Override
                    public void failed(int index, String source, boolean corrupt) {
                        weightsMetrics.failed(source.equals(ORIGIN), corrupt);
                        if (corrupt) {
                            recordDigestMismatch(index);
                        }
                    }
                }));
        log.write(
                Event.FETCH_STARTED,
                "version",
                target,
                "pieces",
                current.manifest().pieceCount());
        for (int index = current.bitmap().nextSetBit(0);
                index >= 0;
                index = current.bitmap().nextSetBit(index + 1)) {
            newStaging.add(index);
        }
    }

    private void orderLoad() {
        if (staging.isPresent() && pieces.get().complete() && turns.mayLoad(model, servedVersion(), target)) {
            loader.loadWhenReady(staging.get());
        }
    }
}
