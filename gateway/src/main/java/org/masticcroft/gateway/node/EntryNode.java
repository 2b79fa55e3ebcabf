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
import org.masticcroft.gateway.config.CallerLimits;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.config.GatewayConfig;
import org.masticcroft.gateway.config.Route;
import org.masticcroft.gateway.dispatch.CrashSuspects;
import org.masticcroft.gateway.dispatch.ServiceQueue;
import org.masticcroft.gateway.dispatch.UpstreamChooser;
import org.masticcroft.gateway.dispatch.UpstreamTable;
import org.masticcroft.gateway.exchange.Exchange;
import org.masticcroft.gateway.exchange.ExchangeContext;
import org.masticcroft.gateway.exchange.ExchangeOutcome;
import org.masticcroft.gateway.exchange.InitialDeadlineEstimator;
import org.masticcroft.gateway.fleet.Directory;
import org.masticcroft.gateway.fleet.DirectoryFollower;
import org.masticcroft.gateway.fleet.FleetStore;
import org.masticcroft.gateway.fleet.NamedVersions;
import org.masticcroft.gateway.fleet.StoreFreshness;
import org.masticcroft.gateway.http.CallerRequest;
import org.masticcroft.gateway.http.Dialect;
import org.masticcroft.gateway.http.HttpServer;
import org.masticcroft.gateway.http.PooledHttpClient;
import org.masticcroft.gateway.http.ResponseWriter;
import org.masticcroft.gateway.load.DatagramPort;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.metrics.MetricsServer;
import org.masticcroft.gateway.metrics.ProcessMetrics;
import org.masticcroft.gateway.metrics.RequestMetrics;
import org.masticcroft.gateway.metrics.Series;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.retry.RetryAllowance;
import org.masticcroft.kernel.retry.RetryBudget;
import org.masticcroft.kernel.retry.SlidingRetryBudget;
import org.masticcroft.kernel.time.TimeSource;

/** An entry: admits the requests of callers and routes each one to an upstream. Runs on one event loop. */
public final class EntryNode implements ExchangeContext, Node {
    /** The long poll of the operator directory lasts a third of the time within which a removed key must be refused. */
    private static final DirectoryFollower.Timing OPERATOR_READS =
            new DirectoryFollower.Timing(Duration.ofMillis(1300), Duration.ZERO);

    /**
     * Each entry reads each change of the list of upstreams, so changes that come close together share a read. The
     * interval is short against the time for which a leaving upstream still serves.
     */
    private static final DirectoryFollower.Timing UPSTREAMS_READS =
            new DirectoryFollower.Timing(Duration.ofMillis(2000), Duration.ofMillis(400));

    /**
     * Fraction of the retry share set by the operators that an entry uses, because the share may be checked over other
     * windows of time than those of the entry.
     */
    private static final double RETRY_SHARE_FRACTION = 0.7;

    private static final Duration RETRY_AFTER = Duration.ofMillis(200);
    private static final long QUEUE_INTERVAL_MILLIS = 20;
    private static final long CHECK_INTERVAL_MILLIS = 100;
    private static final long SUBSCRIBE_INTERVAL_MILLIS = 1000;

    /** Time after the request to stop for which the platform still sends new connections. */
    private static final Duration DEREGISTRATION_DELAY = Duration.ofMillis(2600);

    private final NodeSettings settings;
    private final TimeSource time;
    private final EventLoop loop;
    private final Dialect dialect;
    private final DecisionLog log;
    private final PooledHttpClient httpClient;
    private final ProcessMetrics metrics;
    private final RequestRecorder recorder;
    private final FleetDatagrams datagrams;
    private final UpstreamTable upstreams;
    private final NamedVersions namedVersions;
    private final StoreFreshness storeFreshness;
    private final FleetState fleet;
    private final ConfigValidity configValidity;
    private final RequestFilter filter;
    private final UpstreamChooser chooser;
    private final HttpServer callerServer;
    private final HttpServer readinessServer;
    private final DirectoryFollower operatorFollower;
    private final DirectoryFollower upstreamsFollower;
    private final Map<String, ServiceQueue> queues = new HashMap<>();
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    private final Map<String, InitialDeadlineEstimator> initialDeadlines = new HashMap<>();
    private final Set<Exchange> openExchanges = new LinkedHashSet<>();
    private final CrashSuspects suspects = CrashSuspects.empty();
    private final Random random;
    private boolean stopping;
    private boolean wasReady;

    private EntryNode(NodeSettings settings, NodeDependencies dependencies) {
        this.settings = settings;
        this.time = dependencies.time();
        this.loop = dependencies.loop();
        this.dialect = dependencies.dialect();
        this.log = dependencies.log();
        this.httpClient = dependencies.httpClient();
        this.random = dependencies.random();
        this.metrics = ProcessMetrics.empty();
        this.upstreams = UpstreamTable.of(log);
        this.namedVersions = NamedVersions.empty(time);
        this.storeFreshness = StoreFreshness.unconfirmed(time);
        this.fleet = FleetState.empty(
                time, upstreams, namedVersions, storeFreshness, log, this::announceVersion, dependencies.account());
        this.recorder = new RequestRecorder(
                time, log, RequestMetrics.of(metrics), dependencies.account(), fleet, storeFreshness);
        this.configValidity =
                new ConfigValidity(storeFreshness, settings.bounds().revocation());
        this.datagrams = new FleetDatagrams(
                settings, time, DatagramPort.of(loop, log), fleet, upstreams, namedVersions, suspects);
        this.filter = new RequestFilter(this, fleet, configValidity, suspects);
        this.chooser = UpstreamChooser.of(settings.zone());
        this.callerServer = HttpServer.of(loop, time, this::limits, this::handle);
        this.readinessServer = HttpServer.of(loop, time, CallerLimits::defaults, this::handleReadiness);
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
        loop.scheduleAtFixedRate(
                this::dispatchQueues, QUEUE_INTERVAL_MILLIS, QUEUE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(
                this::checkLiveness, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(
                datagrams::subscribe, CHECK_INTERVAL_MILLIS, SUBSCRIBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void exposeMetrics() {
        metrics.gauge(Series.of("masticcroft_requests_open"), openExchanges::size);
        metrics.gauge(
                Series.of("masticcroft_upstreams_listed"),
                () -> upstreams.listed().size());
        metrics.gauge(Series.of("masticcroft_config_version"), this::configVersion);
        metrics.gauge(
                Series.of("masticcroft_config_age_ms"),
                () -> storeFreshness.age().toMillis());
        metrics.gauge(Series.of("masticcroft_log_lines_dropped"), log::dropped);
        settings.metrics().ifPresent(address -> MetricsServer.listen(loop, time, address, metrics));
    }

    @Override
    public void stop(Runnable finished) {
        loop.execute(() -> {
            if (stopping) {
                return;
            }
            stopping = true;
            log.write(Event.PROCESS_DRAINING, "open_requests", callerServer.openRequests());
            callerServer.drain();
            loop.schedule(() -> awaitOpenRequests(finished), DEREGISTRATION_DELAY.toMillis(), TimeUnit.MILLISECONDS);
        });
    }

    private void awaitOpenRequests(Runnable finished) {
        callerServer.stopListening();
        callerServer.closeIdle();
        if (callerServer.openRequests() == 0) {
            // The delay lets the last bytes of the responses leave the machine before the process ends.
            loop.schedule(finished, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            loop.schedule(() -> awaitOpenRequests(finished), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
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
    public DecisionLog log() {
        return log;
    }

    @Override
    public long configVersion() {
        return fleet.config().map(GatewayConfig::version).orElse(0L);
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
    }

    @Override
    public void enqueue(Exchange exchange, String service) {
        queue(service).add(exchange, profile(service), oldestAllowedVersion(service));
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
    public boolean hasUntriedUpstream(String service, Set<String> tried) {
        long now = time.nanoTime();
        return upstreams.ofService(service).stream()
                .anyMatch(upstream -> upstream.acceptsRequests(now) && !tried.contains(upstream.id()));
    }

    @Override
    public void onUpstreamFailed(Exchange exchange, String upstream) {
        long fingerprint = exchange.request().fingerprint();
        suspects.recordFailure(fingerprint, upstream, time.nanoTime());
        log.write(Event.SUSPECT_MARKED, "request", exchange.id(), "upstream", upstream, "fingerprint", fingerprint);
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
            loop.execute(() -> queue.dispatchWaiting(profile(service), oldestAllowedVersion(service)));
        }
    }

    @Override
    public void onEnded(Exchange exchange, ExchangeOutcome end) {
        openExchanges.remove(exchange);
        recorder.ended(exchange, end);
    }

    private CallerLimits limits() {
        return fleet.config().map(GatewayConfig::limits).orElse(CallerLimits.defaults());
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
        boolean ready = !stopping && fleet.complete() && configValidity.validForReadiness();
        if (ready != wasReady) {
            wasReady = ready;
            log.write(
                    Event.READINESS_CHANGED,
                    "ready",
                    ready,
                    "stopping",
                    stopping,
                    "config_age_ms",
                    storeFreshness.age().toMillis());
        }
        writer.writeFull(ready ? 200 : 503, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    /** Applies deferred removals of upstreams and dispatches waiting requests to upstreams with room. */
    private void dispatchQueues() {
        fleet.applyDeferredRemovals(time.nanoTime());
        queues.forEach((service, queue) -> {
            if (queue.size() > 0) {
                queue.dispatchWaiting(profile(service), oldestAllowedVersion(service));
            }
        });
    }

    /** Detects a suspension of the machine and stalled upstreams. */
    private void checkLiveness() {
        checkSuspension();
        long now = time.nanoTime();
        List.copyOf(openExchanges).forEach(exchange -> exchange.checkStall(now));
    }

    /** Reads the store again after a suspension, which voids the confirmation of the configuration. */
    private void checkSuspension() {
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

    private OptionalLong oldestAllowedVersion(String service) {
        Duration bound = settings.bounds().olderVersionSends();
        return profile(service)
                .map(profile -> namedVersions.oldestAllowed(profile.model(), bound))
                .orElse(OptionalLong.empty());
    }
}
