package org.masticcroft.gateway.node;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
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
import org.masticcroft.gateway.config.Customer;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.config.GatewayConfig;
import org.masticcroft.gateway.config.Route;
import org.masticcroft.gateway.config.UpstreamService;
import org.masticcroft.gateway.dispatch.CrashSuspects;
import org.masticcroft.gateway.dispatch.ServiceQueue;
import org.masticcroft.gateway.dispatch.Upstream;
import org.masticcroft.gateway.dispatch.UpstreamChooser;
import org.masticcroft.gateway.dispatch.UpstreamTable;
import org.masticcroft.gateway.exchange.Exchange;
import org.masticcroft.gateway.exchange.ExchangeContext;
import org.masticcroft.gateway.exchange.ExchangeEnd;
import org.masticcroft.gateway.exchange.RetryAfter;
import org.masticcroft.gateway.fleet.Directory;
import org.masticcroft.gateway.fleet.DirectoryFollower;
import org.masticcroft.gateway.fleet.FleetStore;
import org.masticcroft.gateway.fleet.NamedWeights;
import org.masticcroft.gateway.fleet.StoreContact;
import org.masticcroft.gateway.generated.Datagram;
import org.masticcroft.gateway.generated.EngineLoad;
import org.masticcroft.gateway.generated.Subscription;
import org.masticcroft.gateway.generated.Suspicion;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.http.AnswerWriter;
import org.masticcroft.gateway.http.CallerRequest;
import org.masticcroft.gateway.http.Dialect;
import org.masticcroft.gateway.http.HttpCaller;
import org.masticcroft.gateway.http.HttpServer;
import org.masticcroft.gateway.load.DatagramPort;
import org.masticcroft.gateway.load.LoadReport;
import org.masticcroft.gateway.log.DecisionLog;
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

    /** Part of the time for revocations after which unconfirmed keys are refused; the rest covers the way back. */
    private static final double CONFIRMATION_SHARE = 0.84;

    /** Part of the time for revocations after which the entry asks for no new connections. */
    private static final double READY_SHARE = 0.6;

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
    private final HttpCaller caller;
    private final DatagramPort datagrams;
    private final UpstreamTable upstreams;
    private final NamedWeights weights;
    private final StoreContact contact;
    private final FleetState fleet;
    private final UpstreamChooser chooser;
    private final HttpServer callers;
    private final HttpServer readiness;
    private final DirectoryFollower operator;
    private final DirectoryFollower list;
    private final Map<String, ServiceQueue> queues = new HashMap<>();
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private final Set<Exchange> open = new LinkedHashSet<>();
    private final CrashSuspects suspects = CrashSuspects.none();
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
        this.datagrams = DatagramPort.of(loop, log);
        this.upstreams = UpstreamTable.of(log);
        this.weights = NamedWeights.none(time);
        this.contact = StoreContact.none(time);
        this.fleet = FleetState.empty(time, upstreams, weights, contact, log, model -> subscribe());
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
        datagrams.listen(settings.peerAddress(), this::received);
        loop.execute(operator::start);
        loop.execute(list::start);
        loop.scheduleAtFixedRate(this::serve, SERVE_MILLIS, SERVE_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(this::check, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(this::subscribe, CHECK_MILLIS, SUBSCRIBE_MILLIS, TimeUnit.MILLISECONDS);
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
    public HttpCaller caller() {
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
    public Duration retryAfter() {
        return RETRY_AFTER;
    }

    @Override
    public void started(Exchange exchange, String service) {
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
    public boolean takeRetry(String service) {
        return budget(service).tryRetry(time.nanoTime());
    }

    @Override
    public boolean hasOther(String service, Set<String> tried) {
        long now = time.nanoTime();
        return upstreams.ofService(service).stream()
                .anyMatch(upstream -> upstream.accepts(now) && !tried.contains(upstream.id()));
    }

    @Override
    public void brokeOff(Exchange exchange, String upstream) {
        long fingerprint = exchange.request().fingerprint();
        suspects.brokeOff(fingerprint, upstream, time.nanoTime());
        log.write(Event.SUSPECT_MARKED, "request", exchange.id(), "upstream", upstream, "fingerprint", fingerprint);
    }

    @Override
    public void roomAt(String service) {
        ServiceQueue queue = queues.get(service);
        if (queue != null && queue.size() > 0) {
            loop.execute(() -> queue.serve(profile(service), oldestServing(service)));
        }
    }

    @Override
    public void ended(Exchange exchange, ExchangeEnd end) {
        open.remove(exchange);
        log.write(
                Event.REQUEST_FINISHED,
                "request",
                exchange.id(),
                "route",
                exchange.route().name(),
                "customer",
                exchange.customer(),
                "status",
                end.status(),
                "verdict",
                end.verdict(),
                "reason",
                end.reason(),
                "upstream",
                end.upstream(),
                "sends",
                end.sends(),
                "ms",
                time.since(exchange.arrivalNanos()).toMillis(),
                "config",
                configVersion(),
                "config_age_ms",
                contact.age().toMillis());
    }

    private CallerLimits limits() {
        return fleet.config().map(GatewayConfig::limits).orElse(CallerLimits.defaults());
    }

    private void handle(HttpRequest head, byte[] body, AnswerWriter writer) {
        checkSuspension();
        CallerRequest request = dialect.decode(head, body);
        Optional<GatewayConfig> config = fleet.config();
        if (!fleet.complete()) {
            refuse(request, writer, 503, "no-configuration");
            return;
        }
        if (!suspects.isEmpty() && suspects.quarantined(request.fingerprint(), time.nanoTime())) {
            refuse(request, writer, 503, "quarantined");
            return;
        }
        boolean confirmed = contact.age().compareTo(share(CONFIRMATION_SHARE)) < 0;
        Optional<Route> route = config.get().route(request.host(), request.path());
        if (route.isEmpty()) {
            refuse(request, writer, confirmed ? 404 : 503, "no-route");
            return;
        }
        if (!config.get().requiresKeys() || route.get().open()) {
            Exchange.start(this, request, route.get(), Optional.empty(), writer);
            return;
        }
        if (!confirmed) {
            refuse(request, writer, 503, "configuration-unconfirmed");
            return;
        }
        Optional<Customer> customer = request.key().flatMap(config.get()::customer);
        if (customer.isEmpty()) {
            refuse(request, writer, 401, "unknown-key");
            return;
        }
        Exchange.start(this, request, route.get(), customer, writer);
    }

    private void refuse(CallerRequest request, AnswerWriter writer, int status, String reason) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (status == 503) {
            headers.set(HttpHeaderNames.RETRY_AFTER, RetryAfter.format(RETRY_AFTER));
            // Another entry may know more, and a further request reaches it only on a new connection.
            headers.set(HttpHeaderNames.CONNECTION, "close");
        }
        writer.whole(status, headers, Unpooled.EMPTY_BUFFER);
        log.write(
                Event.REQUEST_REFUSED,
                "request",
                request.attemptId(),
                "status",
                status,
                "reason",
                reason,
                "path",
                request.path(),
                "config",
                configVersion(),
                "config_age_ms",
                contact.age().toMillis());
    }

    private void answerReadiness(HttpRequest head, byte[] body, AnswerWriter writer) {
        boolean ready = !stopping && fleet.complete() && contact.age().compareTo(share(READY_SHARE)) < 0;
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
        writer.whole(ready ? 200 : 503, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    private Duration share(double part) {
        return Duration.ofMillis((long) (settings.bounds().revocation().toMillis() * part));
    }

    private void serve() {
        fleet.releaseHeld(time.nanoTime());
        queues.forEach((service, queue) -> {
            if (queue.size() > 0) {
                queue.serve(profile(service), oldestServing(service));
            }
        });
    }

    private void check() {
        checkSuspension();
        long now = time.nanoTime();
        List.copyOf(open).forEach(exchange -> exchange.checkSilence(now));
    }

    private void checkSuspension() {
        if (contact.suspended()) {
            log.write(Event.MACHINE_SUSPENDED, "effect", "configuration-unconfirmed");
            operator.restart();
            list.restart();
        }
    }

    private void subscribe() {
        Subscription.Builder subscription = Subscription.newBuilder();
        weights.newest()
                .forEach((model, version) ->
                        subscription.addNamed(org.masticcroft.gateway.generated.NamedWeights.newBuilder()
                                .setModel(model)
                                .setVersion(version)));
        subscription.addAllSuspects(suspects.toTell());
        Datagram datagram = Datagram.newBuilder().setSubscription(subscription).build();
        for (Upstream upstream : upstreams.listed()) {
            if (profile(upstream.listing().service()).isPresent()) {
                datagrams.send(new Address(upstream.listing().address().ip(), settings.peerPort()), datagram);
            }
        }
    }

    private void received(Address sender, Datagram datagram) {
        if (datagram.hasLoad()) {
            EngineLoad load = datagram.getLoad();
            LoadReport report = new LoadReport(
                    load.getStartMillis(),
                    load.getRunning(),
                    load.getQueued(),
                    load.getLoading(),
                    load.getServedVersion() > 0 ? OptionalLong.of(load.getServedVersion()) : OptionalLong.empty());
            upstreams.reported(new Address(sender.ip(), load.getPort()), report, time.nanoTime());
            for (Suspicion suspicion : load.getSuspicionsList()) {
                if (!suspicion.getEntry().equals(settings.ip())) {
                    suspicion
                            .getFingerprintsList()
                            .forEach(
                                    fingerprint -> suspects.toldOf(fingerprint, suspicion.getEntry(), time.nanoTime()));
                }
            }
        }
    }

    private ServiceQueue queue(String service) {
        return queues.computeIfAbsent(service, name -> ServiceQueue.of(name, time, upstreams, chooser, log));
    }

    private RetryBudget budget(String service) {
        return budgets.computeIfAbsent(
                service,
                name -> RetryAllowance.above(SlidingRetryBudget.of(
                        settings.bounds().retryShare() * RETRY_SHARE_USED,
                        settings.bounds().retryWindow())));
    }

    private Optional<EngineProfile> profile(String service) {
        return fleet.config().flatMap(config -> config.service(service)).flatMap(UpstreamService::profile);
    }

    private OptionalLong oldestServing(String service) {
        Duration bound = settings.bounds().versionChange().minus(VERSION_MARGIN);
        return profile(service)
                .map(profile -> weights.oldestServing(profile.model(), bound))
                .orElse(OptionalLong.empty());
    }
}
