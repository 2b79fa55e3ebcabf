package org.masticcroft.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.masticcroft.gateway.config.Customer;
import org.masticcroft.gateway.config.Route;
import org.masticcroft.gateway.config.RouteKind;
import org.masticcroft.gateway.dispatch.Rank;
import org.masticcroft.gateway.dispatch.Upstream;
import org.masticcroft.gateway.dispatch.Waiting;
import org.masticcroft.gateway.http.CallerRequest;
import org.masticcroft.gateway.http.Forwarding;
import org.masticcroft.gateway.http.ResponseHead;
import org.masticcroft.gateway.http.ResponseWriter;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * One request of a caller, from its arrival to its final answer. Decides after each failure whether the request may go
 * to another upstream. Used on the event loop only.
 */
public final class Exchange implements Waiting {
    /** Times that a request is sent, refusals by upstreams included; each one draws on the shared budget. */
    private static final int MAX_SENDS = 4;

    /** Time an upstream is avoided after it refused a request because it is full. */
    private static final Duration FULL_PAUSE = Duration.ofMillis(60);

    /** Time an upstream is avoided after another process or other weights were found at its address. */
    private static final Duration MISMATCH_PAUSE = Duration.ofMillis(250);

    /** Time before the deadline at which a stream has to begin; half of them take longer on a loaded engine. */
    private static final Duration STREAM_TIME = Duration.ofMillis(1500);

    private final ExchangeContext context;
    private final CallerRequest request;
    private final Route route;
    private final Optional<Customer> customer;
    private final ResponseWriter writer;
    private final String service;
    private final long arrivalNanos;
    private final long waitingSinceNanos;
    private final long deadlineNanos;
    private final Set<String> tried = new HashSet<>();
    private final Future<?> deadlineTimer;
    private final EventReader events;
    private final SendHistory history = new SendHistory();
    private final AnswerDigest digest = new AnswerDigest();

    private UpstreamAttempt attempt;
    private int sends;
    private int runs;
    private boolean mayHaveRun;
    private boolean answering;
    private boolean done;

    private Exchange(
            ExchangeContext context,
            CallerRequest request,
            Route route,
            Optional<Customer> customer,
            ResponseWriter writer) {
        this.context = context;
        this.request = request;
        this.route = route;
        this.customer = customer;
        this.writer = writer;
        this.service = route.serviceAt(context.random().nextDouble());
        this.arrivalNanos = context.time().nanoTime();
        Duration patience = request.deadline()
                .filter(left -> left.compareTo(route.timeout()) < 0)
                .orElse(route.timeout());
        this.deadlineNanos = arrivalNanos + patience.toNanos();
        this.waitingSinceNanos =
                arrivalNanos - context.waitedBefore(route, request).toNanos();
        this.events = EventReader.after(request.resumeAfter().orElse(0));
        this.deadlineTimer = context.loop().schedule(this::expire, patience.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Starts the handling of a request that was matched to a route. */
    public static void start(
            ExchangeContext context,
            CallerRequest request,
            Route route,
            Optional<Customer> customer,
            ResponseWriter writer) {
        Exchange exchange = new Exchange(context, request, route, customer, writer);
        writer.onDisconnect(exchange::callerGone);
        context.started(exchange, exchange.service);
        context.enqueue(exchange, exchange.service);
    }

    @Override
    public String id() {
        return request.attemptId();
    }

    @Override
    public Rank rank() {
        return Rank.of(customer.map(Customer::rank).orElse(OptionalInt.empty()), route.rank());
    }

    @Override
    public String customer() {
        return customer.map(Customer::name).orElse("");
    }

    public long arrivalNanos() {
        return arrivalNanos;
    }

    @Override
    public long waitingSinceNanos() {
        return waitingSinceNanos;
    }

    @Override
    public Duration target() {
        return route.target();
    }

    @Override
    public long giveUpNanos() {
        long lastStart = streams() ? deadlineNanos - STREAM_TIME.toNanos() : deadlineNanos;
        return Math.min(lastStart, arrivalNanos + route.patience().toNanos());
    }

    @Override
    public boolean begun() {
        return sends > 0;
    }

    @Override
    public int promptTokens() {
        return request.generation().map(CallerRequest.Generation::promptTokens).orElse(0);
    }

    @Override
    public Set<String> tried() {
        return tried;
    }

    public CallerRequest request() {
        return request;
    }

    public Route route() {
        return route;
    }

    @Override
    public void dispatch(Choice choice) {
        Upstream upstream = choice.upstream();
        long now = context.time().nanoTime();
        sends++;
        tried.add(upstream.id());
        history.begun(choice);
        context.log()
                .write(
                        Event.ROUTING_DECISION,
                        "request",
                        id(),
                        "attempt",
                        sends,
                        "upstream",
                        upstream.id(),
                        "candidates",
                        choice.candidates(),
                        "predicted_ms",
                        Math.round(choice.predictedMillis()),
                        "load",
                        choice.load(),
                        "report_age_ms",
                        upstream.reportAgeMillis(now).isPresent()
                                ? upstream.reportAgeMillis(now).getAsLong()
                                : "none",
                        "weights",
                        upstream.servedVersion().isPresent()
                                ? upstream.servedVersion().getAsLong()
                                : "none",
                        "waited_ms",
                        (now - arrivalNanos) / 1_000_000,
                        "config",
                        context.configVersion());
        attempt = UpstreamAttempt.send(this, context, upstream, forwarding(upstream, now));
    }

    @Override
    public void refuse(Refusal refusal) {
        if (answering || mayHaveRun) {
            failFinally(refusal.reason());
        } else {
            finish(503, Verdict.NOT_RUN, refusal.reason(), Optional.of(refusal.retryAfter()));
        }
    }

    /** Looks whether the upstream has gone silent, and goes to another one if the request may be repeated. */
    public void checkSilence(long nowNanos) {
        if (done || attempt == null || !route.repeatable()) {
            return;
        }
        if (SilenceRule.isLost(route, attempt, nowNanos) && canRepeat()) {
            attempt.giveUp();
        }
    }

    public String service() {
        return service;
    }

    boolean streams() {
        return route.kind() == RouteKind.STREAM;
    }

    boolean answering() {
        return answering;
    }

    EventReader events() {
        return events;
    }

    void startAnswer(int status, HttpHeaders headers) {
        answering = true;
        context.firstByte(this, attempt.age());
        writer.start(status, headers);
    }

    void part(ByteBuf content) {
        digest.add(content);

        writer.writeChunk(content);
    }

    /** Completes a streamed answer. */
    void endAnswer() {
        sendEnded(attempt.upstream(), Verdict.RAN, "");
        close();
        writer.end();
        ended(200, Verdict.RAN, "");
    }

    /** Passes a complete answer of the upstream on as it is. */
    void passOn(ResponseHead head, HttpHeaders headers, ByteBuf body) {
        sendEnded(attempt.upstream(), Verdict.RAN, head.success() ? "" : "upstream-status-" + head.status());
        close();
        digest.add(body);
        writer.writeFull(head.status(), headers, body);
        ended(head.status(), Verdict.RAN, head.success() ? "" : "upstream-status");
    }

    /**
     * Decides what follows an attempt that failed.
     *
     * @param upstream where the request was sent
     * @param verdict whether the upstream may have run the request
     * @param reason reason for the log
     * @param wasFull whether the upstream refused because it has no room
     */
    void attemptFailed(Upstream upstream, Verdict verdict, String reason, boolean wasFull) {
        long now = context.time().nanoTime();
        attempt = null;
        sendEnded(upstream, verdict, reason);
        if (verdict == Verdict.NOT_RUN) {
            upstream.refused(now, wasFull ? FULL_PAUSE : MISMATCH_PAUSE);
        } else {
            runs++;
            mayHaveRun = true;
        }
        context.log()
                .write(
                        Event.ATTEMPT_FAILED,
                        "request",
                        id(),
                        "attempt",
                        sends,
                        "upstream",
                        upstream.id(),
                        "verdict",
                        verdict,
                        "reason",
                        reason,
                        "last_event",
                        events.lastId(),
                        "failure_share",
                        Math.round(100 * upstream.failureShare()) / 100.0);
        if (mayRepeat(verdict) && context.takeRetry(service)) {
            events.restart();
            context.enqueue(this, service);
        } else {
            failFinally(reason);
        }
    }

    boolean canRepeat() {
        return sends < MAX_SENDS && runs + 1 < route.maxUpstreams() && context.hasOther(service, tried);
    }

    private boolean mayRepeat(Verdict verdict) {
        boolean allowed = verdict == Verdict.NOT_RUN ? !mayHaveRun || route.repeatable() : route.repeatable();
        return allowed && sends < MAX_SENDS && runs < route.maxUpstreams();
    }

    private void failFinally(String reason) {
        if (answering) {
            close();
            writer.abort();
            ended(0, Verdict.MAY_HAVE_RUN, reason);
        } else if (mayHaveRun) {
            finish(502, Verdict.MAY_HAVE_RUN, reason, Optional.empty());
        } else {
            finish(503, Verdict.NOT_RUN, reason, Optional.of(context.retryAfter()));
        }
    }

    private void expire() {
        if (done) {
            return;
        }
        boolean sent = attempt != null && attempt.sent();
        leaveUpstream(sent ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN, "deadline");
        if (answering) {
            close();
            writer.abort();
            ended(0, Verdict.MAY_HAVE_RUN, "deadline");
        } else if (sent || mayHaveRun) {
            finish(504, Verdict.MAY_HAVE_RUN, "deadline", Optional.empty());
        } else {
            finish(503, Verdict.NOT_RUN, "deadline", Optional.of(context.retryAfter()));
        }
    }

    private void callerGone() {
        if (done) {
            return;
        }
        leaveUpstream(Verdict.MAY_HAVE_RUN, "caller-left");
        close();
        ended(0, sends > 0 ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN, "caller-left");
    }

    /** Cancels the open send, or leaves the queue if there is none. */
    private void leaveUpstream(Verdict verdict, String reason) {
        if (attempt == null) {
            context.dequeue(this, service);
            return;
        }
        sendEnded(attempt.upstream(), verdict, reason);
        attempt.cancel();
        attempt = null;
    }

    private void sendEnded(Upstream upstream, Verdict verdict, String reason) {
        history.ended(verdict, reason);
        context.sendEnded(upstream.id(), reason);
    }

    private void finish(int status, Verdict verdict, String reason, Optional<Duration> retryAfter) {
        close();
        HttpHeaders headers = new DefaultHttpHeaders();
        retryAfter.ifPresent(after -> headers.set(HttpHeaderNames.RETRY_AFTER, RetryAfter.format(after)));
        writer.writeFull(status, headers, Unpooled.EMPTY_BUFFER);
        ended(status, verdict, reason);
    }

    private void close() {
        done = true;
        deadlineTimer.cancel(false);
    }

    private void ended(int status, Verdict verdict, String reason) {
        context.ended(
                this,
                new ExchangeEnd(status, verdict, reason, answering, lastUpstream(), digest.hex(), history.traces()));
    }

    private String lastUpstream() {
        return attempt == null ? "" : attempt.upstream().id();
    }

    private Forwarding forwarding(Upstream upstream, long now) {
        Optional<Duration> remaining = Optional.of(Duration.ofNanos(Math.max(1_000_000, deadlineNanos - now)));
        OptionalInt urgency = streams() ? OptionalInt.of(rank().urgency()) : OptionalInt.empty();
        OptionalLong resume = events.lastId() > 0 ? OptionalLong.of(events.lastId()) : OptionalLong.empty();
        return new Forwarding(
                upstream.id(),
                remaining,
                customer.map(Customer::name),
                urgency,
                request.generation().isPresent() ? upstream.servedVersion() : OptionalLong.empty(),
                streams() ? resume : request.resumeAfter());
    }
}
