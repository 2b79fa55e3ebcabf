package org.masticcroft.gateway.weights;

import com.google.protobuf.ByteString;
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
 * Brings the newest named version of the weights onto the engine of this machine: manifest, pieces, staging, check,
 * order. Every decision follows from the newest report of the engine, so a restart of either process starts over from
 * what the engine holds. Used on the event loop only.
 */
public final class WeightsKeeper {
    /** Version that engines hold before the operator names one. */
    private static final long FIRST_VERSION = 1;

    /** Share of pieces from which a version is completed although a newer one was named. */
    private static final double NEARLY_COMPLETE = 0.5;

    /** Copies of one piece with a wrong digest after which the manifest itself is asked for again. */
    private static final int WRONG_DIGESTS_TO_DOUBT = 3;

    /** Pieces that a region fetches from outside at a time; a piece takes 27 ms of the origin's link. */
    private static final int OUTSIDE_WINDOW = 32;

    /**
     * Times without progress, in milliseconds: 800 and 500 more for each further sidecar until the next one takes a
     * piece over, because a dead machine must not hold up its region; 3500 until another region draws from the origin,
     * because a crashed origin delays all regions alike and each further copy costs its link; 1500 if the region of
     * the origin states nothing.
     */
    private static final RegionalSwarmPlanner.Patience PATIENCE =
            new RegionalSwarmPlanner.Patience(OUTSIDE_WINDOW, 800, 500, 3500, 1500);

    private final NodeSettings settings;
    private final TimeSource time;
    private final DecisionLog log;
    private final OwnEngine engine;
    private final WeightsSources sources;
    private final Peers peers;
    private final FetchPlanner planner = RegionalSwarmPlanner.of(PATIENCE);
    private final UniformRandomProvider random;
    private final WeightsMetrics weightsMetrics;
    private final ManifestSearch manifests;
    private final StagedReader reader;
    private final LoadOrder orders;
    private final Runnable stocked;
    private Optional<GatewayConfig> config = Optional.empty();
    private Optional<EngineReport> report = Optional.empty();
    private String model = "";
    private long newest = FIRST_VERSION;
    private long target;
    private Optional<Stock> stock = Optional.empty();
    private Optional<WeightsFetch> fetch = Optional.empty();
    private Optional<EngineStaging> staging = Optional.empty();
    private final Map<Integer, Integer> wrongDigests = new HashMap<>();

    private WeightsKeeper(
            NodeSettings settings,
            NodeDependencies dependencies,
            OwnEngine engine,
            WeightsSources sources,
            ProcessMetrics metrics,
            Runnable stocked) {
        this.settings = settings;
        this.time = dependencies.time();
        this.log = dependencies.log();
        this.engine = engine;
        this.sources = sources;
        this.peers = Peers.of(time, settings.ip());
        this.random = new SplitMix64(dependencies.random().nextLong());
        this.stocked = stocked;
        this.manifests = new ManifestSearch(time, log, sources, peers, random, settings.peerPort());
        this.weightsMetrics = WeightsMetrics.of(metrics);
        this.reader = new StagedReader(engine, log);
        this.orders = new LoadOrder(engine, time, log, weightsMetrics);
        metrics.gauge(Series.of("masticcroft_weights_named_version"), () -> newest);
        metrics.gauge(
                Series.of("masticcroft_weights_loaded_version"),
                () -> report.map(EngineReport::loadedVersion)
                        .orElse(OptionalLong.empty())
                        .orElse(0));
        metrics.gauge(
                Series.of("masticcroft_weights_pieces_held"),
                () -> stock.map(own -> own.held().cardinality()).orElse(0));
    }

    /**
     * Creates a keeper for the engine of the own machine.
     *
     * @param settings settings of the process
     * @param dependencies what the process is built from
     * @param engine the engine
     * @param sources sources of weights
     * @param metrics metrics of the process
     * @param stocked called when the manifest of a version was found, so that others can be told
     */
    public static WeightsKeeper of(
            NodeSettings settings,
            NodeDependencies dependencies,
            OwnEngine engine,
            WeightsSources sources,
            ProcessMetrics metrics,
            Runnable stocked) {
        return new WeightsKeeper(settings, dependencies, engine, sources, metrics, stocked);
    }

    /** Applies a version of the configuration. */
    public void configured(GatewayConfig published) {
        config = Optional.of(published);
    }

    /** Records a named version. */
    public void named(String namedModel, long version) {
        if (model.isEmpty()) {
            model = namedModel;
        }
        if (namedModel.equals(model) && version > newest) {
            log.write(Event.WEIGHTS_NAMED, "model", model, "version", version, "previous", newest);
            newest = version;
            tick();
        }
    }

    /** Returns the newest version that was named; empty if none was. */
    public Optional<FleetChange.WeightsNamed> named() {
        return newest > FIRST_VERSION ? Optional.of(new FleetChange.WeightsNamed(model, newest)) : Optional.empty();
    }

    /** Applies a list of upstreams that was read as a whole. */
    public void listed(List<FleetChange> changes, String service) {
        peers.listed(changes, service);
    }

    /** Applies what another sidecar holds. */
    public void stated(Address sender, HeldPieces held) {
        named(held.getModel(), held.getVersion());
        peers.stated(sender, held);
        fetch.ifPresent(WeightsFetch::pump);
    }

    /** Applies a report of the engine. */
    public void reported(EngineReport newReport) {
        boolean restarted = report.isPresent() && report.get().startMillis() != newReport.startMillis();
        if (restarted) {
            log.write(Event.ENGINE_RESTARTED, "start", newReport.startMillis());
            orders.forget();
        }
        boolean changed = report.isEmpty() || !report.get().loadedVersion().equals(newReport.loadedVersion());
        if (changed) {
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

    /** Returns whether the other machines have to be known now. */
    public boolean needsPeers() {
        return report.isPresent() && (!current() || peers.empty());
    }

    /** Returns the IP addresses of the other machines. */
    public List<String> others() {
        return peers.others();
    }

    /** Continues what the newest report calls for. */
    public void tick() {
        if (report.isEmpty() || config.isEmpty() || config.get().origin().isEmpty()) {
            return;
        }
        if (model.isEmpty()) {
            model = modelOfConfig();
        }
        chooseTarget();
        if (stock.isEmpty()) {
            if (!current() || peers.wanted(model, target, Integer.MAX_VALUE)) {
                askManifest();
            }
            return;
        }
        if (current()) {
            reader.read(stock.get(), () -> stock.orElse(null));
            return;
        }
        startFetch();
        fetch.ifPresent(WeightsFetch::pump);
        order();
    }

    /** Returns the IP addresses of the other machines of the own region. */
    public List<String> neighbours() {
        String region = settings.regionOf(settings.zone());
        return peers.others().stream()
                .filter(ip -> peers.isIn(ip, settings.regions(), region))
                .toList();
    }

    /**
     * Returns what this sidecar states to the others; empty if nothing is on its way.
     *
     * @param freeUploads transfers that it can start at once
     */
    public Optional<HeldPieces> statement(int freeUploads) {
        if (stock.isEmpty()) {
            return Optional.empty();
        }
        Stock held = stock.get();
        boolean spreading = !held.complete()
                || !current()
                || peers.wanted(model, target, held.manifest().pieces());
        return spreading
                ? Optional.of(HeldPieces.newBuilder()
                        .setModel(model)
                        .setVersion(target)
                        .setBitmap(ByteString.copyFrom(held.held().toByteArray()))
                        .setFreeUploads(freeUploads)
                        .build())
                : Optional.empty();
    }

    /** Returns what another sidecar asks for, if this one has it. */
    public Optional<byte[]> handOut(PeerWeights wanted) {
        return stock.filter(held -> held.isFor(wanted.model(), wanted.version()))
                .flatMap(held -> {
                    if (wanted.piece().isEmpty()) {
                        return Optional.of(PeerWeights.encode(held.manifest()));
                    }
                    int piece = wanted.piece().getAsInt();
                    return held.held().get(piece) ? Optional.of(held.piece(piece)) : Optional.empty();
                });
    }

    private String modelOfConfig() {
        return config.get().models().stream().findFirst().orElse("");
    }

    private boolean current() {
        return report.isPresent()
                && report.get().loadedVersion().isPresent()
                && report.get().loadedVersion().getAsLong() >= Math.max(target, FIRST_VERSION)
                && report.get().loadedVersion().getAsLong() >= newest;
    }

    private void chooseTarget() {
        if (target == newest) {
            return;
        }
        boolean nearlyComplete = stock.isPresent()
                && !loaded(target)
                && stock.get().held().cardinality()
                        >= NEARLY_COMPLETE * stock.get().manifest().pieces();
        if (nearlyComplete) {
            return;
        }
        log.write(Event.PLACEMENT_DECISION, "model", model, "version", newest, "previous", target);
        target = newest;
        stock = Optional.empty();
        fetch.ifPresent(WeightsFetch::abandon);
        fetch = Optional.empty();
        staging.ifPresent(EngineStaging::abandon);
        staging = Optional.empty();
        orders.forget();
        wrongDigests.clear();
        manifests.start(model, target);
    }

    private boolean loaded(long version) {
        return report.isPresent()
                && report.get().loadedVersion().isPresent()
                && report.get().loadedVersion().getAsLong() == version;
    }

    private void askManifest() {
        String region = settings.regionOf(settings.zone());
        manifests.ask(
                config.get().origin().orElseThrow(),
                originIsNear(),
                new Peers.Region(region, settings.regions()),
                this::manifestFound);
    }

    private boolean originIsNear() {
        return settings.regionOf(settings.zone())
                .equals(settings.regionOf(config.get().originZone()));
    }

    private void manifestFound(Manifest manifest) {
        if (stock.isEmpty()) {
            stock = Optional.of(Stock.of(manifest));
            stocked.run();
        } else if (!stock.get().manifest().equals(manifest)) {
            replaceManifest(manifest);
        }
        wrongDigests.clear();
        tick();
    }

    /** Goes on with another manifest of the same version; the pieces that it confirms stay. */
    private void replaceManifest(Manifest manifest) {
        stock = Optional.of(stock.get().under(manifest));
        fetch.ifPresent(WeightsFetch::abandon);
        fetch = Optional.empty();
        staging.ifPresent(EngineStaging::abandon);
        staging = Optional.empty();
    }

    /** Doubts the manifest when several copies of one piece differ from it, because one digest may be corrupt. */
    private void wrongDigest(int piece) {
        if (wrongDigests.merge(piece, 1, Integer::sum) >= WRONG_DIGESTS_TO_DOUBT) {
            wrongDigests.clear();
            manifests.doubt();
            askManifest();
        }
    }

    private void startFetch() {
        if (fetch.isPresent()) {
            return;
        }
        Stock own = stock.get();
        EngineStaging area = new EngineStaging(engine, own, log, this::order);
        staging = Optional.of(area);
        String region = settings.regionOf(settings.zone());
        fetch = Optional.of(new WeightsFetch(
                own,
                new WeightsFetch.Place(
                        settings.ip(),
                        settings.peerPort(),
                        region,
                        settings.regions(),
                        config.get().origin().orElseThrow(),
                        originIsNear()),
                planner,
                peers,
                sources,
                time,
                random,
                log,
                new FetchListener() {
                    @Override
                    public void fetched(int piece, String source) {
                        weightsMetrics.fetched(source.equals(ORIGIN));
                        area.add(piece);
                    }

                    @Override
                    public void failed(int piece, String source, boolean corrupt) {
                        weightsMetrics.failed(source.equals(ORIGIN), corrupt);
                        if (corrupt) {
                            wrongDigest(piece);
                        }
                    }
                }));
        log.write(
                Event.FETCH_STARTED, "version", target, "pieces", own.manifest().pieces());
        for (int piece = own.held().nextSetBit(0);
                piece >= 0;
                piece = own.held().nextSetBit(piece + 1)) {
            area.add(piece);
        }
    }

    private void order() {
        if (staging.isPresent() && stock.get().complete()) {
            orders.give(staging.get(), model, target, report::get);
        }
    }
}
