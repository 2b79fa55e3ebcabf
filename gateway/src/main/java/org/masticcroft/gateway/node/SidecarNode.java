package org.masticcroft.gateway.node;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.masticcroft.gateway.fleet.Directory;
import org.masticcroft.gateway.fleet.DirectoryReply;
import org.masticcroft.gateway.fleet.FleetChange;
import org.masticcroft.gateway.generated.Datagram;
import org.masticcroft.gateway.generated.EngineLoad;
import org.masticcroft.gateway.generated.HeldPieces;
import org.masticcroft.gateway.generated.NamedWeights;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.http.CallerPressure;
import org.masticcroft.gateway.http.HttpServer;
import org.masticcroft.gateway.http.ResponseWriter;
import org.masticcroft.gateway.load.DatagramPort;
import org.masticcroft.gateway.load.DatagramTraffic;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.loop.LateInputReport;
import org.masticcroft.gateway.metrics.MetricsServer;
import org.masticcroft.gateway.metrics.ProcessMetrics;
import org.masticcroft.gateway.metrics.Series;
import org.masticcroft.gateway.weights.EngineReport;
import org.masticcroft.gateway.weights.LocalEngine;
import org.masticcroft.gateway.weights.PacedUploads;
import org.masticcroft.gateway.weights.PeerWeightsRequest;
import org.masticcroft.gateway.weights.WeightsSources;
import org.masticcroft.gateway.weights.WeightsUpdater;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;

/**
 * A sidecar. It keeps the engine beside it on the newest named version of the weights, exchanges pieces of weights with
 * the other sidecars and reports the load of its engine to the entries.
 */
public final class SidecarNode implements Node {
    /** Interval between reads of the engine's report; the reads do not leave the machine. */
    private static final long ENGINE_REPORT_INTERVAL_MILLIS = 200;

    /** Interval at which exhausted budgets are logged. */
    private static final long PRESSURE_INTERVAL_MILLIS = 1000;

    /**
     * Interval between reads of the engine's report while it loads weights. A load takes about 300 ms, and the entries
     * wait for its end.
     */
    private static final long LOADING_REPORT_INTERVAL_MILLIS = 50;

    /** Interval between announcements of held pieces while weights are being distributed. */
    private static final long ANNOUNCEMENT_INTERVAL_MILLIS = 120;

    /** Every second announcement also goes to other regions. */
    private static final int ANNOUNCEMENTS_PER_BROADCAST = 2;

    /**
     * Sidecars that one announcement goes to, in the own region and in all others. The recipients take turns, so that
     * the datagrams of a sidecar do not grow with the fleet.
     */
    private static final int MAX_RECIPIENTS = 16;

    /** Reads of the report after which the load is sent although it has not changed. */
    private static final int MAX_UNCHANGED_REPORTS = 3;

    /** Least interval between reads of the list of upstreams while weights are being distributed. */
    private static final long UPSTREAMS_READ_INTERVAL_MILLIS = 2500;

    /** Delay before a failed or empty read of the operator directory is repeated. */
    private static final long STORE_RETRY_DELAY_MILLIS = 500;

    /** Interval between reads of the operator directory; new versions arrive sooner, in subscriptions of entries. */
    private static final long OPERATOR_READ_INTERVAL_MILLIS = 15_000;

    /**
     * Least time between reads of the configuration, of which a sidecar needs only what rarely changes. The sidecars of
     * a region share its link to the store, so each adds a random time of up to the same length.
     */
    private static final Duration CONFIG_READ_INTERVAL = Duration.ofSeconds(60);

    private final NodeSettings settings;
    private final TimeSource time;
    private final EventLoop loop;
    private final DecisionLog log;
    private final NodeDependencies dependencies;
    private final LocalEngine engine;
    private final DatagramPort datagrams;
    private final CallerPressure peerPressure;
    private final CallerPressure internalPressure;
    private final HttpServer peerServer;
    private final ProcessMetrics metrics;
    private final LateInputReport lateInputs;
    private final WeightsUpdater updater;
    private final String service;
    private final VersionStatements versionStatements;
    private final Subscribers subscribers;
    private final PacedUploads uploads;
    private final ReportedSuspects suspects;
    private final SidecarEvidence evidence;
    private boolean reportPending;
    private Optional<EngineReport> lastReport = Optional.empty();
    private boolean announcing;
    private final TakeTurns<String> regionRecipients = TakeTurns.of(MAX_RECIPIENTS);
    private final TakeTurns<String> otherRecipients = TakeTurns.of(MAX_RECIPIENTS);
    private int announcements;
    private int unchangedReports;
    private int sentLoadHash = -1;
    private long upstreamsReadNanos;
    private boolean upstreamsRead;
    private Future<?> nextOperatorRead;
    private OptionalLong nextConfigReadNanos = OptionalLong.empty();
    private boolean readOperatorDirectoryAgain;

    private SidecarNode(
            NodeSettings settings,
            NodeDependencies dependencies,
            String service,
            LocalEngine engine,
            WeightsSources sources) {
        this.settings = settings;
        this.dependencies = dependencies;
        this.time = dependencies.time();
        this.loop = dependencies.loop();
        this.log = dependencies.log();
        this.engine = engine;
        this.service = service;
        this.datagrams = DatagramPort.of(loop, log);
        this.suspects = new ReportedSuspects(settings.ip().hashCode());
        this.subscribers = new Subscribers(time);
        this.evidence = new SidecarEvidence(time, subscribers::entries, datagrams::send);
        this.versionStatements = new VersionStatements(time, dependencies.inputs());
        this.uploads = PacedUploads.of(loop, settings.linkMbitPerSecond());
        this.metrics = ProcessMetrics.empty();
        this.lateInputs = LateInputReport.of(dependencies.inputs(), log);
        this.updater = WeightsUpdater.of(
                settings, dependencies, engine, sources, metrics, this::announceManifest, this::sendLastLoad);
        this.peerPressure = CallerPressure.of(settings.callerBudgets());
        this.internalPressure = peerPressure.forInternalPorts();
        this.peerServer = HttpServer.withoutBodies(loop, time, peerPressure, this::servePeer);
    }

    /**
     * Creates a sidecar that is not started yet.
     *
     * @param settings settings of the process
     * @param dependencies collaborators of the node
     * @param service name of the service that the engine serves
     * @param engine client of the engine beside the sidecar
     * @param sources client of the origin and the other sidecars
     */
    public static SidecarNode of(
            NodeSettings settings,
            NodeDependencies dependencies,
            String service,
            LocalEngine engine,
            WeightsSources sources) {
        return new SidecarNode(settings, dependencies, service, engine, sources);
    }

    @Override
    public void start() {
        datagrams.listen(settings.peerAddress(), this::handleDatagram);
        peerServer.listen(settings.peerAddress());
        metrics.gauge(Series.of("masticcroft_entries_subscribed"), subscribers::size);
        metrics.gauge(
                Series.of("masticcroft_store_era"),
                () -> dependencies.store().era().current().orElse(0));
        metrics.gauge(Series.of("masticcroft_log_lines_dropped"), log::dropped);
        lateInputs.expose(metrics);
        datagrams.traffic().expose(metrics);
        peerPressure.expose(metrics);
        settings.metrics().ifPresent(address -> MetricsServer.listen(loop, time, address, internalPressure, metrics));

        dependencies.store().era().addListener(this::readAgainAfterRestore);
        loop.execute(this::readOperatorDirectory);
        RepeatingTask.of("engine-report", this::readEngineReport, log)
                .schedule(loop, ENGINE_REPORT_INTERVAL_MILLIS, ENGINE_REPORT_INTERVAL_MILLIS);
        RepeatingTask.of("late-inputs", lateInputs::write, log)
                .schedule(loop, LateInputReport.INTERVAL_MILLIS, LateInputReport.INTERVAL_MILLIS);
        RepeatingTask.of("caller-pressure", this::logPressure, log)
                .schedule(loop, PRESSURE_INTERVAL_MILLIS, PRESSURE_INTERVAL_MILLIS);
        RepeatingTask.of("datagram-traffic", datagrams.traffic()::write, log)
                .schedule(loop, DatagramTraffic.INTERVAL_MILLIS, DatagramTraffic.INTERVAL_MILLIS);
    }

    private void logPressure() {
        peerPressure.write(log);
        internalPressure.writeConnections(log);
    }

    @Override
    public void stop(long requestedNanos, Runnable finished) {
        loop.execute(finished);
    }

    private void readOperatorDirectory() {
        try {
            if (nextConfigReadNanos.isPresent() && nextConfigReadNanos.getAsLong() - time.nanoTime() > 0) {
                dependencies
                        .store()
                        .readOperatorWithoutConfig(reply -> handleOperatorReply(reply, OPERATOR_READ_INTERVAL_MILLIS));
            } else {
                dependencies.store().readAll(Directory.OPERATOR, this::handleFullOperatorReply);
            }
        } catch (RuntimeException e) {
            log.write(Event.INTERNAL_ERROR, e, "component", "operator-directory");
            readOperatorDirectoryAfter(STORE_RETRY_DELAY_MILLIS);
        }
    }

    private void handleFullOperatorReply(DirectoryReply reply) {
        boolean configRead = reply.changes().stream().anyMatch(change -> change instanceof FleetChange.ConfigPublished);
        if (configRead) {
            long spreadNanos = (long) (dependencies.random().nextDouble() * CONFIG_READ_INTERVAL.toNanos());
            nextConfigReadNanos = OptionalLong.of(time.nanoTime() + CONFIG_READ_INTERVAL.toNanos() + spreadNanos);
        }
        handleOperatorReply(
                reply, reply.changes().isEmpty() ? STORE_RETRY_DELAY_MILLIS : OPERATOR_READ_INTERVAL_MILLIS);
    }

    /**
     * Handles the reply of a read of the operator directory.
     *
     * @param intervalMillis time until the next read if this one succeeded
     */
    private void handleOperatorReply(DirectoryReply reply, long intervalMillis) {
        long delayMillis = STORE_RETRY_DELAY_MILLIS;
        try {
            if (reply.status() == DirectoryReply.Status.READ) {
                reply.changes().forEach(this::applyChange);
                delayMillis = intervalMillis;
            } else {
                log.write(Event.STORE_LOST, "directory", Directory.OPERATOR, "reason", reply.reason());
            }
        } catch (RuntimeException e) {
            log.write(Event.INTERNAL_ERROR, e, "component", "operator-directory");
        }
        readOperatorDirectoryAfter(readOperatorDirectoryAgain ? 0 : delayMillis);
        readOperatorDirectoryAgain = false;
    }

    private void readOperatorDirectoryAfter(long delayMillis) {
        nextOperatorRead = loop.schedule(this::readOperatorDirectory, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Reads the directories again at once, since the store has come back from an older copy. */
    private void readAgainAfterRestore(long previousEra, long era) {
        log.write(Event.STORE_RESTORED, "directory", Directory.OPERATOR, "era", era, "previous", previousEra);
        updater.storeRestored();
        upstreamsRead = false;
        nextConfigReadNanos = OptionalLong.empty();
        if (nextOperatorRead != null && nextOperatorRead.cancel(false)) {
            readOperatorDirectoryAfter(0);
        } else {
            // A read is in progress, perhaps of the copy before.
            readOperatorDirectoryAgain = true;
        }
    }

    private void applyChange(FleetChange change) {
        if (change instanceof FleetChange.ConfigPublished published) {
            updater.applyConfig(published.config());
        } else if (change instanceof FleetChange.WeightsNamed named) {
            updater.addNamedVersion(named.model(), named.version());
        }
    }

    private void readUpstreams() {
        if (upstreamsRead && time.since(upstreamsReadNanos).toMillis() < UPSTREAMS_READ_INTERVAL_MILLIS) {
            return;
        }
        upstreamsRead = true;
        upstreamsReadNanos = time.nanoTime();
        dependencies.store().readAll(Directory.UPSTREAMS, reply -> {
            if (reply.status() == DirectoryReply.Status.READ) {
                updater.applyUpstreams(reply.changes(), service);
            } else {
                log.write(Event.STORE_LOST, "directory", Directory.UPSTREAMS, "reason", reply.reason());
            }
        });
    }

    private void readEngineReport() {
        updater.checkPauses();
        versionStatements.checkPauses();
        if (reportPending) {
            return;
        }
        reportPending = true;
        engine.readReport(report -> {
            reportPending = false;
            report.ifPresent(this::handleReport);
        });
        if (updater.needsPeers()) {
            readUpstreams();
        }
        updater.tick();
        if (updater.loadInDoubt()) {
            // The engine may answer no reports, and entries have to know of the doubt all the same.
            sendLastLoad();
        }
        if (!announcing) {
            announcePieces();
        }
    }

    private void handleReport(EngineReport report) {
        lastReport = Optional.of(report);
        updater.applyReport(report);
        if (report.busy()) {
            loop.schedule(this::readEngineReport, LOADING_REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
        sendLoad(report);
    }

    private void sendLastLoad() {
        lastReport.ifPresent(this::sendLoad);
    }

    /** Sends the load to the subscribed entries if it has changed, or from time to time. */
    private void sendLoad(EngineReport report) {
        subscribers.removeExpired();
        boolean inDoubt = updater.loadInDoubt();
        int loadHash =
                Objects.hash(report.running(), report.queued(), report.busy(), report.loadedVersion(), inDoubt, (int)
                        (2 * report.pace()));
        if (loadHash == sentLoadHash && ++unchangedReports < MAX_UNCHANGED_REPORTS) {
            return;
        }
        sentLoadHash = loadHash;
        unchangedReports = 0;
        suspects.retainAll(subscribers.entries());
        EngineLoad.Builder load = EngineLoad.newBuilder()
                .setStartMillis(report.startMillis())
                .setPort(settings.engine().orElseThrow().port())
                .setRunning(report.running())
                .setQueued(report.queued())
                .setLoading(report.busy() || inDoubt)
                .setInDoubt(inDoubt)
                .setServedVersion(inDoubt ? 0 : report.loadedVersion().orElse(0))
                .setPace((float) report.pace())
                .setEntries(subscribers.statedNumber())
                .setMemoryUsed((float) report.memoryUsed());
        updater.newestNamedVersion()
                .ifPresent(named -> load.addNamed(
                        NamedWeights.newBuilder().setModel(named.model()).setVersion(named.version())));
        load.addAllSuspicions(suspects.next());
        Datagram datagram = Datagram.newBuilder().setLoad(load).build();
        subscribers.entries().forEach(entry -> datagrams.send(entry, datagram));
    }

    /**
     * Announces a manifest that was just found to all machines; those in other regions than the origin fetch it from
     * this sidecar.
     */
    private void announceManifest() {
        announce(updater.heldPieces(uploads.freeSlots()), updater.peerIps());
    }

    /** Announces the held pieces to the own region, and less often to the other regions. */
    private void announcePieces() {
        announcing = false;
        List<HeldPieces> held = updater.heldPieces(uploads.freeSlots());
        if (held.isEmpty()) {
            return;
        }
        announcing = true;
        loop.schedule(this::announcePieces, ANNOUNCEMENT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        announcements++;
        announce(held, regionRecipients.next(updater.regionPeerIps()));
        if (announcements % ANNOUNCEMENTS_PER_BROADCAST == 0) {
            announce(held, otherRecipients.next(updater.otherRegionPeerIps()));
        }
    }

    private void announce(List<HeldPieces> held, List<String> ips) {
        for (HeldPieces pieces : held) {
            Datagram datagram = Datagram.newBuilder().setHeld(pieces).build();
            ips.forEach(ip -> datagrams.send(new Address(ip, settings.peerPort()), datagram));
        }
    }

    private void handleDatagram(Address sender, Datagram datagram) {
        if (datagram.hasSubscription()) {
            subscribers.add(sender);
            suspects.record(sender, datagram.getSubscription().getSuspectsList());
            for (NamedWeights named : datagram.getSubscription().getNamedList()) {
                updater.addNamedVersion(named.getModel(), named.getVersion());
            }
            versionStatements.record(datagram.getSubscription().getAgesList());
            if (datagram.getSubscription().getDoubtedStartMillis() != 0) {
                updater.applyDoubt(datagram.getSubscription().getDoubtedStartMillis());
            }
            if (datagram.getSubscription().getAskedNanos() != 0) {
                datagrams.send(
                        sender,
                        versionStatements.reply(datagram.getSubscription().getAskedNanos()));
            }
        } else if (datagram.hasEvidence()) {
            evidence.receive(sender, datagram.getEvidence());
        } else if (datagram.hasHeld()) {
            HeldPieces held = datagram.getHeld();
            updater.applyHeldPieces(sender, held);
        }
    }

    private void servePeer(HttpRequest head, byte[] body, ResponseWriter writer) {
        Optional<byte[]> data = PeerWeightsRequest.parse(head.uri()).flatMap(updater::read);
        if (data.isEmpty()) {
            writer.writeFull(404, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        } else if (!uploads.add(writer, data.get())) {
            writer.writeFull(503, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        }
    }
}
