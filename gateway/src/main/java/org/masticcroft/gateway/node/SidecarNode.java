package org.masticcroft.gateway.node;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.masticcroft.gateway.config.CallerLimits;
import org.masticcroft.gateway.fleet.Directory;
import org.masticcroft.gateway.fleet.DirectoryReply;
import org.masticcroft.gateway.fleet.FleetChange;
import org.masticcroft.gateway.generated.Datagram;
import org.masticcroft.gateway.generated.EngineLoad;
import org.masticcroft.gateway.generated.HeldPieces;
import org.masticcroft.gateway.generated.NamedWeights;
import org.masticcroft.gateway.generated.Suspicion;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.http.HttpServer;
import org.masticcroft.gateway.http.ResponseWriter;
import org.masticcroft.gateway.load.DatagramPort;
import org.masticcroft.gateway.log.DecisionLog;
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

/** A sidecar: keeps the weights of the engine beside it current and states its load to the entries. */
public final class SidecarNode implements Node {
    /** Pause between two reads of the engine's report, which stay on the machine. */
    private static final long REPORT_MILLIS = 200;

    /** Pause between two reads while the engine loads; entries wait for its end, and a load takes some 300 ms. */
    private static final long LOADING_REPORT_MILLIS = 50;

    /** Time after which an entry that no longer subscribes gets no reports. */
    private static final Duration SUBSCRIPTION_LIFETIME = Duration.ofMillis(3500);

    /** Pause between two statements of held pieces while weights are on their way. */
    private static final long STATE_PIECES_MILLIS = 120;

    /** Statements to the own region for one to all machines. */
    private static final int STATEMENTS_ELSEWHERE = 2;

    /** Reads of the report after which the load is stated although it has not changed. */
    private static final int REPORTS_UNCHANGED = 3;

    /** Pause between two reads of the list of upstreams while weights are on their way. */
    private static final long LIST_MILLIS = 2500;

    /** Pause before a failed read of the store is repeated. */
    private static final long STORE_RETRY_MILLIS = 500;

    /** Pause between two reads of the operator's log; the entries pass new versions on sooner. */
    private static final long OPERATOR_MILLIS = 15_000;

    private final NodeSettings settings;
    private final TimeSource time;
    private final EventLoop loop;
    private final DecisionLog log;
    private final NodeParts parts;
    private final LocalEngine engine;
    private final DatagramPort datagrams;
    private final HttpServer peerServer;
    private final ProcessMetrics metrics;
    private final WeightsUpdater updater;
    private final String service;
    private final Map<Address, Long> subscribers = new HashMap<>();
    private final PacedUploads uploads;
    private final Map<Address, List<Long>> suspicions = new HashMap<>();
    private boolean reporting;
    private boolean stating;
    private int statements;
    private int reports;
    private int statedLoad = -1;
    private long listedNanos;
    private boolean listRead;

    private SidecarNode(
            NodeSettings settings, NodeParts parts, String service, LocalEngine engine, WeightsSources sources) {
        this.settings = settings;
        this.parts = parts;
        this.time = parts.time();
        this.loop = parts.loop();
        this.log = parts.log();
        this.engine = engine;
        this.service = service;
        this.datagrams = DatagramPort.of(loop, log);
        this.uploads = PacedUploads.of(loop, settings.linkMbitPerSecond());
        this.metrics = ProcessMetrics.empty();
        this.updater = WeightsUpdater.of(settings, parts, engine, sources, metrics, this::stateAtOnce);
        this.peerServer = HttpServer.of(loop, time, CallerLimits::defaults, this::handOut);
    }

    /**
     * Creates a sidecar that is not started yet.
     *
     * @param settings settings of the process
     * @param parts what a node is built from
     * @param service name of the service that the engine offers
     * @param engine the engine beside the process
     * @param sources sources of weights
     */
    public static SidecarNode of(
            NodeSettings settings, NodeParts parts, String service, LocalEngine engine, WeightsSources sources) {
        return new SidecarNode(settings, parts, service, engine, sources);
    }

    @Override
    public void start() {
        datagrams.listen(settings.peerAddress(), this::received);
        peerServer.listen(settings.peerAddress());
        metrics.gauge(Series.of("masticcroft_entries_subscribed"), subscribers::size);
        metrics.gauge(Series.of("masticcroft_log_lines_dropped"), log::dropped);
        settings.metrics().ifPresent(address -> MetricsServer.listen(loop, time, address, metrics));

        loop.execute(this::readOperator);
        loop.scheduleAtFixedRate(this::readReport, REPORT_MILLIS, REPORT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop(Runnable finished) {
        loop.execute(finished);
    }

    private void readOperator() {
        parts.store().readAll(Directory.OPERATOR, reply -> {
            boolean read = reply.status() == DirectoryReply.Status.READ
                    && !reply.changes().isEmpty();
            if (reply.status() == DirectoryReply.Status.READ) {
                reply.changes().forEach(this::apply);
            } else {
                log.write(Event.STORE_LOST, "directory", Directory.OPERATOR, "reason", reply.reason());
            }
            loop.schedule(this::readOperator, read ? OPERATOR_MILLIS : STORE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    private void apply(FleetChange change) {
        if (change instanceof FleetChange.ConfigPublished published) {
            updater.applyConfig(published.config());
        } else if (change instanceof FleetChange.WeightsNamed named) {
            updater.addNamedVersion(named.model(), named.version());
        }
    }

    private void readList() {
        if (listRead && time.since(listedNanos).toMillis() < LIST_MILLIS) {
            return;
        }
        listRead = true;
        listedNanos = time.nanoTime();
        parts.store().readAll(Directory.UPSTREAMS, reply -> {
            if (reply.status() == DirectoryReply.Status.READ) {
                updater.applyUpstreams(reply.changes(), service);
            } else {
                log.write(Event.STORE_LOST, "directory", Directory.UPSTREAMS, "reason", reply.reason());
            }
        });
    }

    private void readReport() {
        if (reporting) {
            return;
        }
        reporting = true;
        engine.readReport(report -> {
            reporting = false;
            report.ifPresent(this::reported);
        });
        if (updater.needsPeers()) {
            readList();
        }
        updater.tick();
        if (!stating) {
            statePieces();
        }
    }

    private void reported(EngineReport report) {
        updater.applyReport(report);
        if (report.busy()) {
            loop.schedule(this::readReport, LOADING_REPORT_MILLIS, TimeUnit.MILLISECONDS);
        }
        long now = time.nanoTime();
        subscribers.values().removeIf(nanos -> now - nanos > SUBSCRIPTION_LIFETIME.toNanos());
        int stated = Objects.hash(report.running(), report.queued(), report.busy(), report.loadedVersion());
        if (stated == statedLoad && ++reports < REPORTS_UNCHANGED) {
            return;
        }
        statedLoad = stated;
        reports = 0;
        suspicions.keySet().retainAll(subscribers.keySet());
        EngineLoad.Builder load = EngineLoad.newBuilder()
                .setStartMillis(report.startMillis())
                .setPort(settings.engine().orElseThrow().port())
                .setRunning(report.running())
                .setQueued(report.queued())
                .setLoading(report.busy())
                .setServedVersion(report.loadedVersion().orElse(0));
        updater.newestNamedVersion()
                .ifPresent(named -> load.addNamed(
                        NamedWeights.newBuilder().setModel(named.model()).setVersion(named.version())));
        suspicions.forEach((entry, fingerprints) -> {
            if (!fingerprints.isEmpty()) {
                load.addSuspicions(Suspicion.newBuilder().setEntry(entry.ip()).addAllFingerprints(fingerprints));
            }
        });
        Datagram datagram = Datagram.newBuilder().setLoad(load).build();
        subscribers.keySet().forEach(entry -> datagrams.send(entry, datagram));
    }

    /** Tells all machines of a manifest that was just found; those far from the origin get it here. */
    private void stateAtOnce() {
        updater.heldPieces(uploads.freeSlots()).ifPresent(held -> {
            Datagram datagram = Datagram.newBuilder().setHeld(held).build();
            updater.peerIps().forEach(ip -> datagrams.send(new Address(ip, settings.peerPort()), datagram));
        });
    }

    /** States the held pieces to the own region, and less often to the machines elsewhere. */
    private void statePieces() {
        Optional<HeldPieces> held = updater.heldPieces(uploads.freeSlots());
        stating = held.isPresent();
        if (!stating) {
            return;
        }
        loop.schedule(this::statePieces, STATE_PIECES_MILLIS, TimeUnit.MILLISECONDS);
        statements++;
        Datagram datagram = Datagram.newBuilder().setHeld(held.get()).build();
        boolean everywhere = statements % STATEMENTS_ELSEWHERE == 0;
        for (String ip : everywhere ? updater.peerIps() : updater.regionPeerIps()) {
            datagrams.send(new Address(ip, settings.peerPort()), datagram);
        }
    }

    private void received(Address sender, Datagram datagram) {
        if (datagram.hasSubscription()) {
            subscribers.put(sender, time.nanoTime());
            suspicions.put(sender, datagram.getSubscription().getSuspectsList());
            for (NamedWeights named : datagram.getSubscription().getNamedList()) {
                updater.addNamedVersion(named.getModel(), named.getVersion());
            }
        } else if (datagram.hasHeld()) {
            HeldPieces held = datagram.getHeld();
            updater.applyHeldPieces(sender, held);
        }
    }

    private void handOut(HttpRequest head, byte[] body, ResponseWriter writer) {
        Optional<byte[]> data = PeerWeightsRequest.parse(head.uri()).flatMap(updater::read);
        if (data.isEmpty()) {
            writer.writeFull(404, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        } else if (!uploads.add(writer, data.get())) {
            writer.writeFull(503, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        }
    }
}
