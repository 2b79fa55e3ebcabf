package org.masticcroft.gateway.weights;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
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
import org.masticcroft.gateway.node.NodeParts;
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

    /** Pause before a manifest is asked for again. */
    private static final Duration MANIFEST_PAUSE = Duration.ofMillis(400);

    /** Time for which an order that has not shown in a report is not repeated. */
    private static final Duration ORDER_PAUSE = Duration.ofMillis(600);

    /** Pieces that a region fetches from outside at a time; a piece takes 27 ms of the origin's link. */
    private static final int OUTSIDE_WINDOW = 32;

    /** Time without progress after which the next sidecar of a region fetches a piece from outside. */
    private static final RegionalSwarmPlanner.Patience PATIENCE =
            new RegionalSwarmPlanner.Patience(OUTSIDE_WINDOW, 600, 300, 1500);

    private final NodeSettings settings;
    private final TimeSource time;
    private final DecisionLog log;
    private final OwnEngine engine;
    private final WeightsSources sources;
    private final Peers peers;
    private final FetchPlanner planner = RegionalSwarmPlanner.of(PATIENCE);
    private final UniformRandomProvider random;
    private final WeightsMetrics weightsMetrics;
    private Optional<GatewayConfig> config = Optional.empty();
    private Optional<EngineReport> report = Optional.empty();
    private String model = "";
    private long newest = FIRST_VERSION;
    private long target;
    private Optional<Stock> stock = Optional.empty();
    private Optional<WeightsFetch> fetch = Optional.empty();
    private Optional<EngineStaging> staging = Optional.empty();
    private boolean askingManifest;
    private long askedNanos;
    private boolean asked;
    private boolean filling;
    private boolean ordered;
    private long orderedNanos;
    private int manifestTurn;

    private WeightsKeeper(
            NodeSettings settings, NodeParts parts, OwnEngine engine, WeightsSources sources, ProcessMetrics metrics) {
        this.settings = settings;
        this.time = parts.time();
        this.log = parts.log();
        this.engine = engine;
        this.sources = sources;
        this.peers = Peers.of(time, settings.ip());
        this.random = new SplitMix64(parts.random().nextLong());
        this.weightsMetrics = WeightsMetrics.of(metrics);
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

    /** Creates a keeper for the engine of the own machine. */
    public static WeightsKeeper of(
            NodeSettings settings, NodeParts parts, OwnEngine engine, WeightsSources sources, ProcessMetrics metrics) {
        return new WeightsKeeper(settings, parts, engine, sources, metrics);
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
            ordered = false;
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
            fillFromEngine();
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
        asked = false;
        ordered = false;
    }

    private boolean loaded(long version) {
        return report.isPresent()
                && report.get().loadedVersion().isPresent()
                && report.get().loadedVersion().getAsLong() == version;
    }

    private void askManifest() {
        if (askingManifest || (asked && time.since(askedNanos).compareTo(MANIFEST_PAUSE) < 0)) {
            return;
        }
        askingManifest = true;
        asked = true;
        askedNanos = time.nanoTime();
        long version = target;
        List<String> others = peers.others();
        boolean fromPeer = manifestTurn++ % 2 == 1 && !others.isEmpty();
        if (fromPeer) {
            Address peer = new Address(others.get(random.nextInt(others.size())), settings.peerPort());
            sources.manifestFromPeer(peer, model, version, found -> manifestReceived(version, found));
        } else {
            sources.manifestFromOrigin(
                    config.get().origin().orElseThrow(), model, version, found -> manifestReceived(version, found));
        }
    }

    private void manifestReceived(long version, Optional<Manifest> found) {
        askingManifest = false;
        if (found.isEmpty()) {
            log.write(Event.MANIFEST_UNAVAILABLE, "model", model, "version", version);
        } else if (version == target && stock.isEmpty()) {
            stock = Optional.of(Stock.of(found.get()));
            tick();
        }
    }

    private void startFetch() {
        if (fetch.isPresent()) {
            return;
        }
        Stock own = stock.get();
        EngineStaging area = new EngineStaging(engine, own, log);
        staging = Optional.of(area);
        String region = settings.regionOf(settings.zone());
        boolean near = region.equals(settings.regionOf(config.get().originZone()));
        fetch = Optional.of(new WeightsFetch(
                own,
                new WeightsFetch.Place(
                        settings.ip(),
                        settings.peerPort(),
                        region,
                        settings.regions(),
                        config.get().origin().orElseThrow(),
                        near),
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

    /** Reads the staged pieces of the loaded version, because other sidecars want them. */
    private void fillFromEngine() {
        Stock own = stock.get();
        if (own.complete() || filling) {
            return;
        }
        filling = true;
        fillNext(own, own.held().nextClearBit(0));
    }

    private void fillNext(Stock own, int piece) {
        if (piece >= own.manifest().pieces() || stock.isEmpty() || stock.get() != own) {
            filling = false;
            log.write(
                    Event.STAGED_PIECES_READ,
                    "version",
                    own.manifest().version(),
                    "held",
                    own.held().cardinality());
            return;
        }
        engine.staged(own.manifest().model(), piece, data -> {
            data.ifPresent(bytes -> own.add(piece, bytes));
            fillNext(own, own.held().nextClearBit(piece + 1));
        });
    }

    private void order() {
        EngineStaging area = staging.orElse(null);
        if (area == null || !stock.get().complete() || report.get().busy()) {
            return;
        }
        if (ordered && time.since(orderedNanos).compareTo(ORDER_PAUSE) < 0) {
            return;
        }
        if (area.checking() || !area.complete()) {
            return;
        }
        long version = target;
        area.check(() -> giveOrder(version));
    }

    private void giveOrder(long version) {
        if (version != target || report.get().busy()) {
            return;
        }
        ordered = true;
        orderedNanos = time.nanoTime();
        engine.load(model, version, report.get().ordersBegun(), outcome -> ordered(version, outcome));
    }

    private void ordered(long version, OwnEngine.OrderOutcome outcome) {
        weightsMetrics.ordered(outcome.name());
        log.write(
                Event.ENGINE_ORDER,
                "order",
                "load",
                "model",
                model,
                "version",
                version,
                "orders",
                report.get().ordersBegun(),
                "outcome",
                outcome);
    }
}
