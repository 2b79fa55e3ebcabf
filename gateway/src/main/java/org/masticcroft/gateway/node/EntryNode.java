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

/** An entry: takes the requests of callers and passes each one to an upstream. Runs on one event loop. */
public final class EntryNode implements ExchangeContext, Node {
    /** How long the store may wait for a change; a third of the time within which a removed key must be refused. */
    private static final Duration OPERATOR_WAIT = Duration.ofMillis(1300);

    private static final Duration UPSTREAMS_WAIT = Duration.ofMillis(2000);

    /** Time before the bound on old weights at which new requests stop going to them; they may wait in an engine. */
    private static final Duration VERSION_MARGIN = Duration.ofMillis(900);

    /** Part of the operators' share of retries that one entry uses; arrivals may be counted in other windows. */
    private static final double RETRY_SHARE_USED = 0.7;

    private static final Duration RETRY_AFTER = Duration.ofMillis(200);
    private static final long SERVE_MILLIS = 20;
    private static final long CHECK_MILLIS = 100;
    private static final long SUBSCRIBE_MILLIS = 1000;

    /** Time after the request to stop in which the platform still sends new connections. */
    private static final Duration STILL_ROUTED = Duration.ofMillis(2600);

    private final NodeSettings settings;
    private final TimeSource time;
    private final EventLoop loop;
    private final Dialect dialect;
    private final DecisionLog log;
    private final PooledHttpClient caller;
    private final ProcessMetrics metrics;
    private final RequestRecords records;
    private final FleetDatagrams datagrams;
    private final UpstreamTable upstreams;
    private final NamedVersions weights;
    private final StoreFreshness contact;
    private final FleetState fleet;
    private final Confirmation confirmation;
    private final RequestGate gate;
    private final UpstreamChooser chooser;
    private final HttpServer callers;
    private final HttpServer readiness;
    private final DirectoryFollower operator;
    private final DirectoryFollower list;
    private final Map<String, ServiceQueue> queues = new HashMap<>();
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private final Map<String, InitialDeadlineEstimator> deadlines = new HashMap<>();
    private final Set<Exchange> open = new LinkedHashSet<>();
    private final CrashSuspects suspects = CrashSuspects.empty();
    private final Random random;
    private boolean stopping;
    private boolean wasReady;

    private EntryNode(NodeSettings settings, NodeParts parts) {
        this.settings = settings;
        this.time = parts.time();
        this.loop = parts.loop();
        this.dialect = parts.dialect();
        this.log = parts.log();
        this.caller = parts.caller();
        this.random = parts.random();
        this.metrics = ProcessMetrics.empty();
        this.upstreams = UpstreamTable.of(log);
        this.weights = NamedVersions.empty(time);
        this.contact = StoreFreshness.unconfirmed(time);
        this.fleet = FleetState.empty(time, upstreams, weights, contact, log, this::weightsNamed, parts.account());
        this.records = new RequestRecords(time, log, RequestMetrics.of(metrics), parts.account(), fleet, contact);
        this.confirmation = new Confirmation(contact, settings.bounds().revocation());
        this.datagrams =
                new FleetDatagrams(settings, time, DatagramPort.of(loop, log), fleet, upstreams, weights, suspects);
        this.gate = new RequestGate(this, fleet, confirmation, suspects);
        this.chooser = UpstreamChooser.of(settings.zone());
        this.callers = HttpServer.of(loop, time, this::limits, this::handle);
        this.readiness = HttpServer.of(loop, time, CallerLimits::defaults, this::answerReadiness);
        FleetStore store = parts.store();
        this.operator = DirectoryFollower.of(Directory.OPERATOR, store, loop, time, OPERATOR_WAIT, fleet, log);
        this.list = DirectoryFollower.of(Directory.UPSTREAMS, store, loop, time, UPSTREAMS_WAIT, fleet, log);
    }

    /** Creates an entry that is not started yet. */
    public static EntryNode of(NodeSettings settings, NodeParts parts) {
        return new EntryNode(settings, parts);
    }

    @Override
    public void start() {
        readiness.listen(settings.readiness().orElseThrow());
        callers.listen(settings.callers().orElseThrow());
        datagrams.listen();
        exposeMetrics();
        loop.execute(operator::start);
        loop.execute(list::start);
        loop.scheduleAtFixedRate(this::serve, SERVE_MILLIS, SERVE_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(this::check, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(datagrams::subscribe, CHECK_MILLIS, SUBSCRIBE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void exposeMetrics() {
        metrics.gauge(Series.of("masticcroft_requests_open"), open::size);
        metrics.gauge(
                Series.of("masticcroft_upstreams_listed"),
                () -> upstreams.listed().size());
        metrics.gauge(Series.of("masticcroft_config_version"), this::configVersion);
        metrics.gauge(
                Series.of("masticcroft_config_age_ms"), () -> contact.age().toMillis());
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
            log.write(Event.PROCESS_DRAINING, "open_requests", callers.openRequests());
            callers.drain();
            loop.schedule(() -> awaitEmpty(finished), STILL_ROUTED.toMillis(), TimeUnit.MILLISECONDS);
        });
    }

    private void awaitEmpty(Runnable finished) {
        callers.closeIdle();
        if (callers.openRequests() == 0) {
            // The last bytes leave the machine before the process ends.
            loop.schedule(finished, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            loop.schedule(() -> awaitEmpty(finished), CHECK_MILLIS, TimeUnit.MILLISECONDS);
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
        return caller;
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
                        deadlines.computeIfAbsent(route.name(), name -> InitialDeadlineEstimator.empty())
                                ::recordAndEstimateWait)
                .orElse(Duration.ZERO);
    }

    @Override
    public Duration retryAfter() {
        return RETRY_AFTER;
    }

    @Override
    public void onStarted(Exchange exchange, String service) {
        open.add(exchange);
        budget(service).recordFirstAttempt(time.nanoTime());
    }

    @Override
    public void enqueue(Exchange exchange, String service) {
        queue(service).add(exchange, profile(service), oldestServing(service));
    }

    @Override
    public void dequeue(Exchange exchange, String service) {
        queue(service).remove(exchange);
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
        records.firstByte(exchange);
    }

    @Override
    public void onAttemptEnded(String upstream, String reason) {
        records.sendEnded(upstream, reason);
    }

    @Override
    public void onCapacityFreed(String service) {
        ServiceQueue queue = queues.get(service);
        if (queue != null && queue.size() > 0) {
            loop.execute(() -> queue.dispatchWaiting(profile(service), oldestServing(service)));
        }
    }

    @Override
    public void onEnded(Exchange exchange, ExchangeOutcome end) {
        open.remove(exchange);
        records.ended(exchange, end);
    }

    private CallerLimits limits() {
        return fleet.config().map(GatewayConfig::limits).orElse(CallerLimits.defaults());
    }

    private void handle(HttpRequest head, byte[] body, ResponseWriter writer) {
        checkSuspension();
        gate.handle(dialect.decode(head, body), writer);
    }

    @Override
    public void onRefused(CallerRequest request, int status, String reason) {
        records.refused(request, status, reason);
    }

    private void answerReadiness(HttpRequest head, byte[] body, ResponseWriter writer) {
        boolean ready = !stopping && fleet.complete() && confirmation.holdsForReadiness();
        if (ready != wasReady) {
            wasReady = ready;
            log.write(
                    Event.READINESS_CHANGED,
                    "ready",
                    ready,
                    "stopping",
                    stopping,
                    "config_age_ms",
                    contact.age().toMillis());
        }
        writer.writeFull(ready ? 200 : 503, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    private void serve() {
        fleet.releaseHeld(time.nanoTime());
        queues.forEach((service, queue) -> {
            if (queue.size() > 0) {
                queue.dispatchWaiting(profile(service), oldestServing(service));
            }
        });
    }

    private void check() {
        checkSuspension();
        long now = time.nanoTime();
        List.copyOf(open).forEach(exchange -> exchange.checkStall(now));
    }

    private void checkSuspension() {
        if (contact.detectSuspension()) {
            log.write(Event.MACHINE_SUSPENDED, "effect", "configuration-unconfirmed");
            operator.restart();
            list.restart();
        }
    }

    private ServiceQueue queue(String service) {
        return queues.computeIfAbsent(service, name -> ServiceQueue.of(name, time, upstreams, chooser, log));
    }

    private RetryBudget budget(String service) {
        return budgets.computeIfAbsent(
                service,
                name -> RetryAllowance.inAdditionTo(SlidingRetryBudget.of(
                        settings.bounds().retryShare() * RETRY_SHARE_USED,
                        settings.bounds().retryWindow())));
    }

    private Optional<EngineProfile> profile(String service) {
        return fleet.profile(service);
    }

    /** Tells the sidecars of a new version at once. */
    private void weightsNamed(String model) {
        datagrams.subscribe();
    }

    private OptionalLong oldestServing(String service) {
        Duration bound = settings.bounds().versionChange().minus(VERSION_MARGIN);
        return profile(service)
                .map(profile -> weights.oldestAllowed(profile.model(), bound))
                .orElse(OptionalLong.empty());
    }
}
