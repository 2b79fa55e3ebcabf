package org.masticcroft.gateway.node;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.masticcroft.gateway.config.AllowedRegions;
import org.masticcroft.gateway.config.CallerLimits;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.config.GatewayConfig;
import org.masticcroft.gateway.config.Route;
import org.masticcroft.gateway.dispatch.AllowedRegionsRule;
import org.masticcroft.gateway.dispatch.ColdUpstreams;
import org.masticcroft.gateway.dispatch.ConnectionRoom;
import org.masticcroft.gateway.dispatch.CrashSuspects;
import org.masticcroft.gateway.dispatch.EngineMemory;
import org.masticcroft.gateway.dispatch.EvacuatedDataCentres;
import org.masticcroft.gateway.dispatch.GradualRefill;
import org.masticcroft.gateway.dispatch.PathDelays;
import org.masticcroft.gateway.dispatch.PlacementRules;
import org.masticcroft.gateway.dispatch.PromptPartSuspects;
import org.masticcroft.gateway.dispatch.QueuedRequest;
import org.masticcroft.gateway.dispatch.ServiceQueue;
import org.masticcroft.gateway.dispatch.SlotShare;
import org.masticcroft.gateway.dispatch.Upstream;
import org.masticcroft.gateway.dispatch.UpstreamChooser;
import org.masticcroft.gateway.dispatch.UpstreamTable;
import org.masticcroft.gateway.dispatch.VersionLimit;
import org.masticcroft.gateway.exchange.Exchange;
import org.masticcroft.gateway.exchange.ExchangeContext;
import org.masticcroft.gateway.exchange.ExchangeOutcome;
import org.masticcroft.gateway.exchange.HedgeOutcome;
import org.masticcroft.gateway.exchange.InitialDeadlineEstimator;
import org.masticcroft.gateway.exchange.ResponseMemory;
import org.masticcroft.gateway.exchange.ResponseTimes;
import org.masticcroft.gateway.fleet.Directory;
import org.masticcroft.gateway.fleet.DirectoryFollower;
import org.masticcroft.gateway.fleet.FleetStore;
import org.masticcroft.gateway.fleet.NamedVersions;
import org.masticcroft.gateway.fleet.StoreFreshness;
import org.masticcroft.gateway.generated.CrashEvidence;
import org.masticcroft.gateway.hedge.HedgePolicy;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.http.CallFailure;
import org.masticcroft.gateway.http.CallerPressure;
import org.masticcroft.gateway.http.CallerRequest;
import org.masticcroft.gateway.http.Dialect;
import org.masticcroft.gateway.http.HttpServer;
import org.masticcroft.gateway.http.PooledHttpClient;
import org.masticcroft.gateway.http.ResponseWriter;
import org.masticcroft.gateway.load.DatagramPort;
import org.masticcroft.gateway.load.DatagramTraffic;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.loop.LateInputReport;
import org.masticcroft.gateway.metrics.MetricsServer;
import org.masticcroft.gateway.metrics.ProcessMetrics;
import org.masticcroft.gateway.metrics.RequestMetrics;
import org.masticcroft.gateway.metrics.Series;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.retry.RetryAllowance;
import org.masticcroft.kernel.retry.RetryBudget;
import org.masticcroft.kernel.retry.SlidingRetryBudget;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.kernel.verdict.Verdict;

/** An entry: admits the requests of callers and routes each one to an upstream. Runs on one event loop. */
public final class EntryNode implements ExchangeContext, Node {
    /** The long poll of the operator directory lasts a third of the time within which a removed key must be refused. */
    private static final DirectoryFollower.Timing OPERATOR_READS =
            new DirectoryFollower.Timing(Duration.ofMillis(1300), Duration.ZERO);

    /**
     * Each entry reads each change of the list of upstreams, so changes that come close together share a read. The
     * interval is short against the time for which a leaving upstream still serves, and so is the time until a read
     * fails whose connection no longer works.
     */
    private static final DirectoryFollower.Timing UPSTREAMS_READS =
            new DirectoryFollower.Timing(Duration.ofMillis(1300), Duration.ofMillis(400));

    /**
     * Fraction of the retry share set by the operators that an entry uses, because the share may be checked over other
     * windows of time than those of the entry.
     */
    private static final double RETRY_SHARE_FRACTION = 0.7;

    private static final Duration RETRY_AFTER = Duration.ofMillis(200);
    private static final byte[] NO_BODY = {};
    private static final long QUEUE_INTERVAL_MILLIS = 20;
    private static final long CHECK_INTERVAL_MILLIS = 100;
    private static final long SUBSCRIBE_INTERVAL_MILLIS = 1000;

    /** Time after a failure without a byte from the upstream from which it counts as crashed. */
    private static final Duration CRASH_CONFIRMATION = Duration.ofMillis(75);

    /** Time after a crash within which bytes that were sent before it are still read. */
    private static final Duration IN_TRANSIT = Duration.ofMillis(25);

    private final NodeSettings settings;
    private final TimeSource time;
    private final EventLoop loop;
    private final Dialect dialect;
    private final DecisionLog log;
    private final PooledHttpClient httpClient;
    private final ProcessMetrics metrics;
    private final LateInputReport lateInputs;
    private final RequestRecorder recorder;
    private final FleetDatagrams datagrams;
    private final EntryEvidence evidence;
    private final UpstreamTable upstreams;
    private final NamedVersions namedVersions;
    private final StoreFreshness storeFreshness;
    private final FleetState fleet;
    private final ConfigValidity configValidity;
    private final RequestFilter filter;
    private final ColdUpstreams coldUpstreams;
    private final PathDelays paths = PathDelays.unknown();
    private final UpstreamChooser chooser;
    private final CallerPressure callerPressure;
    private final CallerPressure internalPressure;
    private final HttpServer callerServer;
    private final GracefulStop stop;
    private final HttpServer readinessServer;
    private final DirectoryFollower operatorFollower;
    private final DirectoryFollower upstreamsFollower;
    private final Map<String, ServiceQueue> queues = new HashMap<>();
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    private final Map<String, InitialDeadlineEstimator> initialDeadlines = new HashMap<>();
    private final Set<Exchange> openExchanges = new LinkedHashSet<>();
    private final CrashSuspects suspects = CrashSuspects.empty();
    private final PromptPartSuspects promptParts = PromptPartSuspects.empty();
    private final ResponseTimes responseTimes = ResponseTimes.empty();
    private final ResponseMemory responseMemory = ResponseMemory.ofHeap();
    private final HedgePolicy hedging;
    private Set<Long> loggedQuarantine = Set.of();
    private boolean evidenceRequested;
    private final Random random;
    private boolean wasReady;

    private EntryNode(NodeSettings settings, NodeDependencies dependencies) {
        this.settings = settings;
        this.time = dependencies.time();
        this.loop = dependencies.loop();
        this.dialect = dependencies.dialect();
        this.log = dependencies.log();
        this.httpClient = dependencies.httpClient();
        this.random = dependencies.random();
        this.hedging = HedgePolicy.of(
                settings.bounds().hedgingShare(), settings.bounds().retryWindow(), time);
        this.metrics = ProcessMetrics.empty();
        this.lateInputs = LateInputReport.of(dependencies.inputs(), log);
        this.upstreams = UpstreamTable.of(log);
        this.namedVersions = NamedVersions.empty(time);
        this.storeFreshness = StoreFreshness.unconfirmed(time);
        this.fleet = FleetState.empty(
                time,
                dependencies.inputs(),
                upstreams,
                namedVersions,
                storeFreshness,
                log,
                this::announceVersion,
                dependencies.account());
        this.recorder = new RequestRecorder(
                time, log, RequestMetrics.of(metrics), dependencies.account(), fleet, storeFreshness);
        this.configValidity =
                new ConfigValidity(storeFreshness, settings.bounds().revocation());
        this.datagrams = new FleetDatagrams(
                settings,
                time,
                DatagramPort.of(loop, log),
                fleet,
                upstreams,
                namedVersions,
                suspects,
                this::receiveEvidence);
        this.evidence = new EntryEvidence(
                time,
                promptParts,
                datagrams::sidecars,
                datagrams::send,
                (task, delay) -> loop.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS));
        this.coldUpstreams = ColdUpstreams.of(
                upstreams,
                fleet::coldLimits,
                settings.bounds().coldOver(),
                settings.bounds().coldSlack(),
                log);
        this.chooser = UpstreamChooser.of(
                settings.zone(),
                PlacementRules.of(
                        EvacuatedDataCentres.of(fleet.evacuations()),
                        AllowedRegionsRule.of(settings::regionOf),
                        coldUpstreams,
                        EngineMemory.of(fleet::profile, log),
                        SlotShare.of(settings.ip(), fleet::profile, upstreams::statedEntries),
                        GradualRefill.of(fleet.evacuations(), dependencies.random()),
                        ConnectionRoom.of(httpClient::hasRoom)),
                paths);
        this.callerPressure = CallerPressure.of(settings.callerBudgets());
        this.callerServer = HttpServer.of(
                loop, time, dependencies.inputs(), this::limits, callerPressure, this::timeLimit, this::handle);
        this.stop = new GracefulStop(loop, time, callerServer, settings.bounds().openRequestsEnd());
        this.filter = new RequestFilter(this, fleet, configValidity, stop, suspects, promptParts, responseTimes);
        this.internalPressure = callerPressure.forInternalPorts();
        this.readinessServer = HttpServer.withoutBodies(loop, time, internalPressure, this::handleReadiness);
        FleetStore store = dependencies.store();
        this.operatorFollower = DirectoryFollower.of(Directory.OPERATOR, store, loop, time, OPERATOR_READS, fleet, log);
        this.upstreamsFollower =
                DirectoryFollower.of(Directory.UPSTREAMS, store, loop, time, UPSTREAMS_READS, fleet, log);
    }

    /**
     * Creates an entry that is not started yet.
     *
     * @param settings settings of the process
     * @param dependencies collaborators of the node
     */
    public static EntryNode of(NodeSettings settings, NodeDependencies dependencies) {
        return new EntryNode(settings, dependencies);
    }

    @Override
    public void start() {
        readinessServer.listen(settings.readiness().orElseThrow());
        callerServer.listen(settings.callers().orElseThrow());
        datagrams.listen();
        exposeMetrics();
        loop.execute(operatorFollower::start);
        loop.execute(upstreamsFollower::start);
        RepeatingTask.of("queues", this::dispatchQueues, log)
                .schedule(loop, QUEUE_INTERVAL_MILLIS, QUEUE_INTERVAL_MILLIS);
        RepeatingTask.of("liveness", this::checkLiveness, log)
                .schedule(loop, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS);
        RepeatingTask.of("late-inputs", lateInputs::write, log)
                .schedule(loop, LateInputReport.INTERVAL_MILLIS, LateInputReport.INTERVAL_MILLIS);
        RepeatingTask.of("caller-pressure", this::logPressure, log)
                .schedule(loop, SUBSCRIBE_INTERVAL_MILLIS, SUBSCRIBE_INTERVAL_MILLIS);
        RepeatingTask.of("datagram-traffic", datagrams.traffic()::write, log)
                .schedule(loop, DatagramTraffic.INTERVAL_MILLIS, DatagramTraffic.INTERVAL_MILLIS);
        RepeatingTask.of("subscriptions", datagrams::subscribe, log)
                .schedule(loop, CHECK_INTERVAL_MILLIS, SUBSCRIBE_INTERVAL_MILLIS);
        RepeatingTask.of("crash-evidence", evidence::exchange, log)
                .schedule(loop, CHECK_INTERVAL_MILLIS, SUBSCRIBE_INTERVAL_MILLIS);
    }

    private void logPressure() {
        callerPressure.write(log);
        internalPressure.writeConnections(log);
    }

    private void exposeMetrics() {
        metrics.gauge(Series.of("masticcroft_requests_open"), openExchanges::size);
        metrics.gauge(Series.of("masticcroft_response_bytes_buffered"), responseMemory::usedBytes);
        metrics.gauge(
                Series.of("masticcroft_upstreams_listed"),
                () -> upstreams.listed().size());
        metrics.gauge(Series.of("masticcroft_prompt_parts_suspected"), promptParts::suspected);
        metrics.gauge(
                Series.of("masticcroft_prompt_parts_quarantined"),
                () -> promptParts.quarantined().size());
        metrics.gauge(
                Series.of("masticcroft_data_centres_evacuated"),
                () -> fleet.evacuations().count());
        metrics.gauge(Series.of("masticcroft_config_version"), this::configVersion);
        metrics.gauge(
                Series.of("masticcroft_config_age_ms"),
                () -> storeFreshness.age().toMillis());
        metrics.gauge(Series.of("masticcroft_store_era"), operatorFollower::storeEra);
        metrics.gauge(Series.of("masticcroft_log_lines_dropped"), log::dropped);
        coldUpstreams.expose(metrics, time);
        lateInputs.expose(metrics);
        callerPressure.expose(metrics);
        datagrams.traffic().expose(metrics);
        RequestExplainer explainer = new RequestExplainer(
                time,
                fleet,
                configValidity,
                (request, service) -> queue(service).forecast(request, profile(service), versionLimit(service)));
        settings.metrics()
                .ifPresent(address ->
                        MetricsServer.listen(loop, time, address, internalPressure, metrics, explainer::explain));
    }

    @Override
    public void stop(long requestedNanos, Runnable finished) {
        if (stop.request(requestedNanos)) {
            loop.execute(() -> beginStop(requestedNanos, finished));
        }
    }

    private void beginStop(long requestedNanos, Runnable finished) {
        log.write(
                Event.PROCESS_DRAINING,
                "open_requests",
                openExchanges.size(),
                "connections",
                callerServer.openConnections(),
                "late_ms",
                time.since(requestedNanos).toMillis());
        stop.begin(this::endOpenRequests, () -> {
            logEndOfStop();
            finished.run();
        });
    }

    /** Logs what the exit of the process cuts off. */
    private void logEndOfStop() {
        log.write(
                Event.PROCESS_DRAINING,
                "open_requests",
                openExchanges.size(),
                "effect",
                "finished",
                "connections",
                callerServer.openConnections(),
                "unsent_bytes",
                callerServer.unsentBytes());
    }

    private void endOpenRequests() {
        callerServer.handleAllArrivals();
        log.write(Event.PROCESS_DRAINING, "open_requests", openExchanges.size(), "effect", "ended");
        List.copyOf(openExchanges).forEach(Exchange::endBeforeExit);
    }

    @Override
    public TimeSource time() {
        return time;
    }

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public Random random() {
        return random;
    }

    @Override
    public Dialect dialect() {
        return dialect;
    }

    @Override
    public PooledHttpClient httpClient() {
        return httpClient;
    }

    @Override
    public ResponseMemory responseMemory() {
        return responseMemory;
    }

    @Override
    public DecisionLog log() {
        return log;
    }

    @Override
    public long configVersion() {
        return fleet.config().map(GatewayConfig::version).orElse(0L);
    }

    @Override
    public OptionalLong oldestVersionToAwait(Upstream upstream) {
        String service = upstream.listing().service();
        return profile(service)
                .map(profile -> {
                    Duration lead = chooser.withdrawalLead(upstream, profile, time.nanoTime());
                    return namedVersions.oldestAllowed(
                            profile.model(), settings.bounds().versionChange().minus(lead));
                })
                .orElse(OptionalLong.empty());
    }

    @Override
    public Optional<Duration> outdatedFor(Upstream upstream) {
        OptionalLong version = upstream.servedVersion();
        return version.isEmpty()
                ? Optional.empty()
                : profile(upstream.listing().service())
                        .flatMap(profile -> namedVersions.outdatedFor(profile.model(), version.getAsLong()));
    }

    @Override
    public Duration priorWait(Route route, CallerRequest request) {
        return request.deadline()
                .map(
                        initialDeadlines.computeIfAbsent(route.name(), name -> InitialDeadlineEstimator.empty())
                                ::recordAndEstimateWait)
                .orElse(Duration.ZERO);
    }

    @Override
    public Duration retryAfter() {
        return RETRY_AFTER;
    }

    @Override
    public void onStarted(Exchange exchange, String service) {
        openExchanges.add(exchange);
        budget(service).recordFirstAttempt(time.nanoTime());
        hedging.recordRequest(service);
    }

    @Override
    public void enqueue(Exchange exchange, String service) {
        queue(service).add(exchange, profile(service), versionLimit(service));
    }

    @Override
    public void dequeue(Exchange exchange, String service) {
        queue(service).remove(exchange);
    }

    @Override
    public boolean retryAvailable(String service) {
        return budget(service).isAvailable(time.nanoTime());
    }

    @Override
    public boolean tryRetry(String service) {
        return budget(service).tryAcquire(time.nanoTime());
    }

    @Override
    public boolean hasUntriedUpstream(Exchange exchange) {
        return chooser.anyUntried(exchange, upstreams.ofService(exchange.service()), time.nanoTime());
    }

    @Override
    public AllowedRegions allowedRegions(CallerRequest request) {
        return fleet.config()
                .map(config -> config.allowedRegions(request.host(), request.path(), request.key()))
                .orElse(AllowedRegions.all());
    }

    @Override
    public void onConnected(Upstream upstream, Duration handshake) {
        paths.record(upstream.listing().zone(), handshake, time.nanoTime());
    }

    @Override
    public Optional<String> sendObjection(Exchange exchange, Upstream upstream) {
        String service = upstream.listing().service();
        return queue(service).sendObjection(exchange, upstream, profile(service), versionLimit(service));
    }

    @Override
    public HedgePolicy hedging() {
        return hedging;
    }

    @Override
    public boolean dispatchHedge(Exchange exchange, Predicate<QueuedRequest.Choice> worthwhile) {
        String service = exchange.service();
        return queue(service).dispatchHedge(exchange, profile(service), versionLimit(service), worthwhile);
    }

    @Override
    public void onHedge(Exchange exchange, HedgeOutcome outcome) {
        recorder.hedge(exchange, outcome);
    }

    @Override
    public boolean suspected(CallerRequest request) {
        return !promptParts.mayResend(request.sharedParts())
                || promptParts.anySuspected(request.sharedParts())
                || suspects.suspected(request.fingerprint(), time.nanoTime());
    }

    @Override
    public void onUpstreamFailed(Exchange exchange, Upstream upstream, CallFailure failure) {
        long fingerprint = exchange.request().fingerprint();
        long now = time.nanoTime();
        suspects.recordFailure(fingerprint, upstream.id(), exchange.route().repeatable(), now);
        log.write(
                Event.SUSPECT_MARKED,
                "request",
                exchange.id(),
                "upstream",
                upstream.id(),
                "fingerprint",
                fingerprint,
                "parts",
                hex(exchange.request().sharedParts()));
        List<Long> parts = exchange.request().sharedParts();
        if (!parts.isEmpty() && failure.connectionLost()) {
            loop.schedule(
                    () -> recordCrash(parts, upstream, now), CRASH_CONFIRMATION.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Counts a failure as a crash if the upstream sent nothing since; a live one goes on with its other responses. */
    private void recordCrash(List<Long> parts, Upstream upstream, long failureNanos) {
        if (!upstream.receivedSince(failureNanos + IN_TRANSIT.toNanos())) {
            promptParts.recordCrash(parts, upstream.process(), failureNanos);
            onEvidence(parts);
        }
    }

    @Override
    public void onResponseBegun(Exchange exchange) {
        List<Long> parts = exchange.request().sharedParts();
        if (promptParts.recordAnswer(parts, time.nanoTime())) {
            onEvidence(parts);
        }
    }

    @Override
    public boolean admit(CallerRequest request) {
        long now = time.nanoTime();
        boolean quarantined = quarantined(request);
        boolean admitted = promptParts.admit(request.sharedParts(), now);
        if (quarantined && admitted) {
            log.write(Event.QUARANTINE_TRIAL, "request", request.attemptId(), "parts", hex(request.sharedParts()));
            onEvidence(request.sharedParts());
        }
        return admitted;
    }

    @Override
    public boolean quarantined(CallerRequest request) {
        return request.sharedParts().stream().anyMatch(promptParts.quarantined()::contains);
    }

    @Override
    public boolean mayResend(CallerRequest request) {
        return promptParts.mayResend(request.sharedParts());
    }

    private void onEvidence(List<Long> parts) {
        checkQuarantine();
        evidence.tell(parts);
    }

    private void receiveEvidence(Address sidecar, CrashEvidence received) {
        if (evidence.receive(sidecar, received)) {
            checkQuarantine();
        }
    }

    /** Ends what the evidence on parts of prompts now forbids. */
    private void checkQuarantine() {
        if (!loggedQuarantine.equals(promptParts.quarantined())) {
            loggedQuarantine = promptParts.quarantined();
            List.copyOf(openExchanges).forEach(Exchange::checkQuarantine);
            log.write(
                    Event.PROMPT_PARTS_QUARANTINED,
                    "parts",
                    hex(List.copyOf(loggedQuarantine)),
                    "suspected",
                    promptParts.suspected());
        }
    }

    @Override
    public void onFirstByte(Exchange exchange, Duration sinceSend) {
        queue(exchange.service()).recordTimeToFirstByte(sinceSend);
        recorder.firstByte(exchange);
    }

    @Override
    public void onAttemptEnded(String upstream, String reason) {
        recorder.attemptEnded(upstream, reason);
    }

    @Override
    public void onCapacityFreed(String service) {
        ServiceQueue queue = queues.get(service);
        if (queue != null && queue.size() > 0) {
            loop.execute(() -> queue.dispatchWaiting(profile(service), versionLimit(service)));
        }
    }

    @Override
    public void onEnded(Exchange exchange, ExchangeOutcome end) {
        openExchanges.remove(exchange);
        if (end.verdict() == Verdict.RAN && !suspects.isEmpty()) {
            suspects.recordResponse(exchange.request().fingerprint());
        }
        if (end.status() / 100 == 2) {
            responseTimes.record(
                    exchange.route(),
                    exchange.request(),
                    exchange.arrivalToFirstByte(),
                    time.since(exchange.arrivalNanos()));
        }
        recorder.ended(exchange, end);
    }

    private static String hex(List<Long> parts) {
        return parts.stream().map(Long::toHexString).collect(Collectors.joining(","));
    }

    private CallerLimits limits() {
        return fleet.config().map(GatewayConfig::limits).orElse(CallerLimits.defaults());
    }

    private Optional<Duration> timeLimit(HttpRequest head) {
        return filter.timeLimit(dialect.decode(head, NO_BODY));
    }

    private void handle(HttpRequest head, byte[] body, ResponseWriter writer) {
        checkSuspension();
        filter.handle(dialect.decode(head, body), writer);
    }

    @Override
    public void onRefused(CallerRequest request, int status, String reason) {
        recorder.refused(request, status, reason);
    }

    private void handleReadiness(HttpRequest head, byte[] body, ResponseWriter writer) {
        boolean ready = !stop.requested() && fleet.complete() && configValidity.validForReadiness();
        if (ready != wasReady) {
            wasReady = ready;
            log.write(
                    Event.READINESS_CHANGED,
                    "ready",
                    ready,
                    "stopping",
                    stop.requested(),
                    "config_age_ms",
                    storeFreshness.age().toMillis());
        }
        writer.writeFull(ready ? 200 : 503, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    /** Applies the deferred changes of the fleet and dispatches waiting requests to upstreams with room. */
    private void dispatchQueues() {
        fleet.applyDeferredChanges(time.nanoTime());
        queues.forEach((service, queue) -> {
            if (queue.size() > 0) {
                queue.dispatchWaiting(profile(service), versionLimit(service));
            }
        });
    }

    /**
     * Detects a suspension of the machine, stalled upstreams and requests that wait for outdated weights. Asks the
     * sidecars for their evidence on parts of prompts once they are known.
     */
    private void checkLiveness() {
        checkSuspension();
        if (!evidenceRequested && fleet.complete()) {
            evidenceRequested = true;
            evidence.exchange();
        }
        long now = time.nanoTime();
        List.copyOf(openExchanges).forEach(exchange -> {
            exchange.checkWeightsVersion();
            exchange.withdrawUnanswered(
                    upstream -> fleet.evacuations()
                            .withdrawsUnanswered(upstream.listing().zone(), now),
                    "data-centre-evacuated");
            exchange.checkStall(now);
        });
    }

    /**
     * Counts a suspension as time since the known versions were named, and reads the store again, because a suspension
     * voids the confirmation of the configuration.
     */
    private void checkSuspension() {
        fleet.checkPauses();
        if (storeFreshness.detectSuspension()) {
            log.write(Event.MACHINE_SUSPENDED, "effect", "configuration-unconfirmed");
            operatorFollower.restart();
            upstreamsFollower.restart();
        }
    }

    private ServiceQueue queue(String service) {
        return queues.computeIfAbsent(service, name -> ServiceQueue.of(name, time, upstreams, chooser, log));
    }

    private RetryBudget budget(String service) {
        return retryBudgets.computeIfAbsent(
                service,
                name -> RetryAllowance.inAdditionTo(SlidingRetryBudget.of(
                        settings.bounds().retryShare() * RETRY_SHARE_FRACTION,
                        settings.bounds().retryWindow())));
    }

    private Optional<EngineProfile> profile(String service) {
        return fleet.profile(service);
    }

    /** Sends a new version to the sidecars at once. */
    private void announceVersion(String model) {
        datagrams.subscribe();
    }

    /** Returns the limit on the weights of a service for requests that are sent now. */
    private VersionLimit versionLimit(String service) {
        return profile(service)
                .<VersionLimit>map(profile -> untilBegin -> namedVersions.oldestAllowed(
                        profile.model(), settings.bounds().olderVersionSends(untilBegin)))
                .orElse(VersionLimit.none());
    }
}
