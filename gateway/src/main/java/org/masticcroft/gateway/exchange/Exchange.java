package org.masticcroft.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.masticcroft.gateway.config.AllowedRegions;
import org.masticcroft.gateway.config.Customer;
import org.masticcroft.gateway.config.Route;
import org.masticcroft.gateway.config.RouteKind;
import org.masticcroft.gateway.dispatch.QueuedRequest;
import org.masticcroft.gateway.dispatch.Rank;
import org.masticcroft.gateway.dispatch.Upstream;
import org.masticcroft.gateway.http.CallerRequest;
import org.masticcroft.gateway.http.ResponseHead;
import org.masticcroft.gateway.http.ResponseWriter;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * Handles one request of a caller, from its arrival to its final response. Decides after each failed attempt whether
 * the request may be sent to another upstream. Used on the event loop only.
 */
public final class Exchange implements QueuedRequest {
    /** Maximum number of attempts, refused ones included; each retry draws on the shared retry budget. */
    private static final int MAX_ATTEMPTS = 4;

    /** Time for which an upstream is avoided after it refused a request because it is full. */
    private static final Duration FULL_PAUSE = Duration.ofMillis(60);

    /** Time for which an upstream is avoided after another process or other weights were found at its address. */
    private static final Duration MISMATCH_PAUSE = Duration.ofMillis(250);

    /**
     * Time for which the resend of a request that may have crashed its upstream waits for the evidence of the other
     * entries; evidence takes a quarter of a second to reach all of them.
     */
    private static final Duration EVIDENCE_WAIT = Duration.ofMillis(300);

    /** Time after the queue has refused to replace a stalled attempt until it is asked again. */
    private static final Duration REPLACEMENT_PAUSE = Duration.ofMillis(500);

    /** Time before the deadline by which a stream must start; on a loaded engine half of the streams take longer. */
    private static final Duration MIN_STREAM_TIME = Duration.ofMillis(1500);

    private final ExchangeContext context;
    private final CallerRequest request;
    private final Route route;
    private final Optional<Customer> customer;
    private final ResponseWriter writer;
    private final String service;
    private final long arrivalNanos;
    private final long waitingSinceNanos;
    private final long deadlineNanos;
    private final long latestDeadlineNanos;
    private final Set<String> triedUpstreams = new HashSet<>();
    private final AttemptHistory history = new AttemptHistory();
    private final ResponseDigest digest = new ResponseDigest();
    private final RegionLimit regions;

    private Future<?> deadlineTimer;
    private final Hedge hedge;
    private UpstreamAttempt attempt;

    /** An attempt that stalled at a stream, or was hedged, and goes on until the current one has taken its place. */
    private UpstreamAttempt earlierAttempt;

    private long lastEventId;
    private int attempts;
    private int possibleRuns;
    private boolean mayHaveRun;
    private boolean mayHaveCrashedUpstream;
    private boolean onTrial;
    private boolean awaitingReplacement;
    private long replacementRefusedNanos;
    private boolean responseStarted;
    private Duration timeToFirstByte = Duration.ZERO;
    private Duration arrivalToFirstByte = Duration.ZERO;
    private Optional<String> responseMediaType = Optional.empty();
    private boolean closed;

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
        this.regions = RegionLimit.ofArrival(context, request);
        this.service = route.pickService(context.random().nextDouble());
        this.arrivalNanos = writer.earliestArrivalNanos();
        Duration timeout = route.timeLimit(request.deadline());
        this.deadlineNanos = arrivalNanos + timeout.toNanos();
        this.waitingSinceNanos =
                arrivalNanos - context.priorWait(route, request).toNanos();
        this.lastEventId = request.resumeAfter().orElse(0);
        this.replacementRefusedNanos = arrivalNanos - REPLACEMENT_PAUSE.toNanos();
        this.latestDeadlineNanos = context.time().nanoTime() + timeout.toNanos();
        this.deadlineTimer = timerAt(deadlineNanos);
        this.hedge = new Hedge(this, context);
    }

    /** Starts the exchange of a request that was matched to a route. */
    public static void start(
            ExchangeContext context,
            CallerRequest request,
            Route route,
            Optional<Customer> customer,
            ResponseWriter writer) {
        Exchange exchange = new Exchange(context, request, route, customer, writer);
        writer.onDisconnect(exchange::onCallerDisconnected);
        context.onStarted(exchange, exchange.service);
        if (exchange.expired()) {
            exchange.refuse(new Refusal("no-time-left", context.retryAfter()));
        } else {
            context.enqueue(exchange, exchange.service);
        }
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
    public long firstByteDeadlineNanos() {
        long latestStart = isStream() ? deadlineNanos - MIN_STREAM_TIME.toNanos() : deadlineNanos;
        return Math.min(latestStart, arrivalNanos + route.callerTimeout().toNanos());
    }

    /** Returns whether the caller has stopped waiting before the request was read. */
    private boolean expired() {
        long callerLeavesNanos = arrivalNanos + route.callerTimeout().toNanos();
        return context.time().nanoTime() >= Math.min(deadlineNanos, callerLeavesNanos);
    }

    @Override
    public boolean alreadySent() {
        return attempts > 0;
    }

    @Override
    public int promptTokens() {
        return request.generation().map(CallerRequest.Generation::promptTokens).orElse(0);
    }

    @Override
    public int memoryTokens() {
        return request.generation().map(CallerRequest.Generation::memoryTokens).orElse(0);
    }

    @Override
    public Set<String> triedUpstreams() {
        return triedUpstreams;
    }

    @Override
    public AllowedRegions allowedRegions() {
        return regions.current();
    }

    @Override
    public boolean hedge() {
        return attempt != null && !awaitingReplacement;
    }

    /** Returns whether the response has not started and is awaited from the given attempt alone. */
    boolean awaitsFirstByteOf(UpstreamAttempt open) {
        return !closed
                && writer.connected()
                && attempt == open
                && earlierAttempt == null
                && !awaitingReplacement
                && !responseStarted
                && !open.responseBegun();
    }

    public CallerRequest request() {
        return request;
    }

    public Route route() {
        return route;
    }

    @Override
    public void dispatch(Choice choice) {
        if (!writer.connected()) {
            // The end of the exchange follows as the connection closes.
            return;
        }
        if (awaitingReplacement) {
            replaceStalledAttempt(choice);
            return;
        }
        if (hedge()) {
            earlierAttempt = attempt;
            history.hedge();
            hedge.open(attempt, attempts, choice);
            send(choice);
            return;
        }
        if (!context.admit(request)) {
            refuse(new Refusal("quarantined-part", context.retryAfter()));
            return;
        }
        send(choice);
    }

    private void send(Choice choice) {
        onTrial = context.quarantined(request);
        Upstream upstream = choice.upstream();
        long now = context.time().nanoTime();
        attempts++;
        triedUpstreams.add(upstream.id());
        history.start(choice);
        AttemptLog.sent(context, this, attempts, choice, now);
        attempt = UpstreamAttempt.send(this, context, upstream);
        hedge.await(attempt);
    }

    @Override
    public void refuse(Refusal refusal) {
        if (awaitingReplacement) {
            awaitingReplacement = false;
            replacementRefusedNanos = context.time().nanoTime();
        } else if (responseStarted || mayHaveRun) {
            fail(refusal.reason());
        } else {
            respond(503, Verdict.NOT_RUN, refusal.reason(), Optional.of(refusal.retryAfter()));
        }
    }

    /** Withdraws the request from an upstream that has not begun it, if a part of its prompt is quarantined now. */
    public void checkQuarantine() {
        if (!onTrial && context.quarantined(request)) {
            openAttempts().stream().filter(open -> !open.begun()).forEach(open -> open.withdraw("quarantined-part"));
        }
    }

    /** Withdraws the request from the given upstreams if they have sent no part of a response. */
    public void withdrawUnanswered(Predicate<Upstream> upstreams, String reason) {
        openAttempts().stream()
                .filter(open -> !open.answered() && upstreams.test(open.upstream()))
                .forEach(open -> open.withdraw(reason));
    }

    /** Records that the upstream of the current attempt failed as if it had crashed, and had not answered. */
    void recordPossibleCrash() {
        mayHaveCrashedUpstream = true;
    }

    /**
     * Queues a repeatable request whose attempt has stalled for another upstream. The attempt goes on, because its
     * upstream may only be slow.
     */
    public void checkStall(long nowNanos) {
        if (closed || attempt == null || !route.repeatable()) {
            return;
        }
        if (!replaceable(nowNanos)) {
            cancelReplacement();
        } else if (!awaitingReplacement && nowNanos - replacementRefusedNanos >= REPLACEMENT_PAUSE.toNanos()) {
            awaitingReplacement = true;
            context.enqueue(this, service);
        }
    }

    private boolean replaceable(long nowNanos) {
        return StallDetector.isStalled(route, attempt, nowNanos)
                && canRetryElsewhere()
                && !context.quarantined(request);
    }

    /** Sends the request to another upstream, unless the attempt has made progress while the request was queued. */
    private void replaceStalledAttempt(Choice choice) {
        awaitingReplacement = false;
        if (replaceable(context.time().nanoTime()) && context.admit(request) && context.tryRetry(service)) {
            if (isStream() && attempt.sent()) {
                cancelEarlierAttempt("stalled");
                earlierAttempt = attempt;
                attempt.recordStall();
            } else {
                attempt.abandon();
            }
            send(choice);
        }
    }

    /** Records that the open attempt has stalled; it may have run, and goes on. */
    void recordStalledAttempt(UpstreamAttempt stalled, String reason) {
        attempt = null;
        possibleRuns++;
        mayHaveRun = true;
        history.stall(Verdict.MAY_HAVE_RUN, reason);
        AttemptLog.failed(context, this, attempts, stalled, Verdict.MAY_HAVE_RUN, reason);
    }

    /**
     * Returns whether an error of one attempt leaves another one that may still answer. An error that is the fault of
     * the request counts as the answer to a hedged one.
     */
    boolean otherMayAnswer(int status) {
        return earlierAttempt != null && (!hedge.isOpen() || status >= 500);
    }

    /** Records the time from the sending of an attempt to the first byte of its response. */
    void recordTimeToFirstByte(Duration timeToFirstByte) {
        hedge.recordTimeToFirstByte(timeToFirstByte);
    }

    /** Has an attempt answer the request, and cancels the other one. */
    void choose(UpstreamAttempt chosen) {
        if (earlierAttempt == null) {
            return;
        }
        if (chosen != earlierAttempt) {
            hedge.report(HedgeOutcome.WON, chosen, earlierAttempt);
            cancelEarlierAttempt("lost-to-hedge");
            return;
        }
        UpstreamAttempt cancelled = attempt;
        boolean sent = cancelled.sent();
        cancelAttempt(
                sent ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN,
                hedge.isOpen() ? "hedge-lost" : "other-upstream-went-on");
        countPossibleRun(sent);
        resumeEarlierAttempt(HedgeOutcome.LOST, cancelled);
    }

    private void resumeEarlierAttempt(HedgeOutcome outcome, UpstreamAttempt ended) {
        attempt = earlierAttempt;
        earlierAttempt = null;
        possibleRuns -= hedge.isOpen() ? 0 : 1;
        hedge.report(outcome, attempt, ended);
        hedge.close();
        history.resumeEarlier();
    }

    private void cancelEarlierAttempt(String reason) {
        if (earlierAttempt != null) {
            endHedgedAttempt(earlierAttempt.sent() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN, reason);
            earlierAttempt.cancel();
            earlierAttempt = null;
        }
    }

    /** Records the end of the earlier attempt if it was hedged; that of a stalled one is recorded already. */
    private void endHedgedAttempt(Verdict verdict, String reason) {
        if (hedge.isOpen()) {
            hedge.close();
            countPossibleRun(verdict == Verdict.MAY_HAVE_RUN);
            history.endHedged(verdict, reason);
            context.onAttemptEnded(earlierAttempt.upstream().id(), reason);
        }
    }

    private void countPossibleRun(boolean mayHaveRunNow) {
        possibleRuns += mayHaveRunNow ? 1 : 0;
        mayHaveRun |= mayHaveRunNow;
    }

    private void cancelReplacement() {
        if (awaitingReplacement) {
            awaitingReplacement = false;
            context.dequeue(this, service);
        }
    }

    /**
     * Withdraws the request from an upstream whose weights are about to become too old for it to begin there, and sends
     * it to another one if it may be repeated.
     */
    public void checkWeightsVersion() {
        openAttempts().stream()
                .filter(open -> !open.begun() && open.weightsVersion().isPresent())
                .forEach(this::checkWeightsVersion);
    }

    private void checkWeightsVersion(UpstreamAttempt open) {
        OptionalLong oldest = context.oldestVersionToAwait(open.upstream());
        if (oldest.isPresent() && open.weightsVersion().getAsLong() < oldest.getAsLong()) {
            open.withdraw("weights-outdated");
        }
    }

    /** Returns the attempts that may still answer the request; the earlier one first, as it only backs the other. */
    private List<UpstreamAttempt> openAttempts() {
        return closed
                ? List.of()
                : Stream.of(earlierAttempt, attempt).filter(Objects::nonNull).toList();
    }

    public String service() {
        return service;
    }

    /** Returns the time until the deadline, at least a millisecond. */
    Duration remaining(long nowNanos) {
        return Duration.ofNanos(Math.max(1_000_000, deadlineNanos - nowNanos));
    }

    boolean callerConnected() {
        return writer.connected();
    }

    boolean isStream() {
        return route.kind() == RouteKind.STREAM;
    }

    /** Returns the time from the last send to the first byte of a streamed response; zero if there was none. */
    public Duration timeToFirstByte() {
        return timeToFirstByte;
    }

    /** Returns the time from the arrival to the first byte of a streamed response; zero if there was none. */
    public Duration arrivalToFirstByte() {
        return arrivalToFirstByte;
    }

    boolean responseStarted() {
        return responseStarted;
    }

    /** Returns the id of the last event that was forwarded; 0 if there was none. */
    long lastEventId() {
        return lastEventId;
    }

    /** Records a new event of an attempt, which is about to be forwarded. */
    void onEvent(UpstreamAttempt source, long eventId) {
        choose(source);
        lastEventId = eventId;
    }

    /** Returns whether events of a response with the given media type may be forwarded. */
    boolean accepts(Optional<String> mediaType) {
        return !responseStarted || mediaType.equals(responseMediaType);
    }

    void startResponse(int status, HttpHeaders headers, Optional<String> mediaType) {
        responseStarted = true;
        timeToFirstByte = attempt.age();
        arrivalToFirstByte = context.time().since(arrivalNanos);
        responseMediaType = mediaType;
        context.onFirstByte(this, timeToFirstByte);
        writer.start(status, headers);
    }

    void forwardChunk(ByteBuf content) {
        digest.add(content);
        writer.writeChunk(content);
    }

    /** Has an action run once the caller has read enough; returns false if it keeps up. */
    boolean awaitCaller(Runnable action) {
        return writer.awaitWritable(action);
    }

    /** Completes a streamed response. */
    void endResponse() {
        endAttempt(attempt.upstream(), Verdict.RAN, "");
        close();
        writer.end();
        reportEnd(200, Verdict.RAN, "");
    }

    /** Forwards a complete response of the upstream unchanged. */
    void forwardResponse(ResponseHead head, HttpHeaders headers, ByteBuf body) {
        endAttempt(attempt.upstream(), Verdict.RAN, head.success() ? "" : "upstream-status-" + head.status());
        close();
        digest.add(body);
        writer.writeFull(head.status(), headers, body);
        reportEnd(head.status(), Verdict.RAN, head.success() ? "" : "upstream-status");
    }

    /**
     * Goes on with the attempt that stalled before, retries the request after a failed attempt, or fails it.
     *
     * @param failed the attempt
     * @param verdict whether the upstream may have run the request
     * @param reason reason of the failure, for the log
     * @param upstreamFull whether the upstream refused the request because it is full
     */
    void onAttemptFailed(UpstreamAttempt failed, Verdict verdict, String reason, boolean upstreamFull) {
        if (failed == earlierAttempt) {
            if (hedge.isOpen()) {
                hedge.report(HedgeOutcome.FIRST_FAILED, attempt, failed);
                recordRefusal(failed.upstream(), verdict, upstreamFull);
                AttemptLog.failed(context, this, hedge.firstNumber(), failed, verdict, reason);
                endHedgedAttempt(verdict, reason);
            }
            earlierAttempt = null;
            return;
        }
        recordFailedAttempt(failed, verdict, reason, upstreamFull);
        if (earlierAttempt != null) {
            resumeEarlierAttempt(HedgeOutcome.FAILED, failed);
            checkStall(context.time().nanoTime());
        } else if (mayRetry(verdict) && mayHaveCrashedUpstream && !context.mayResend(request)) {
            context.loop().schedule(() -> retryOnceCleared(reason), EVIDENCE_WAIT.toMillis(), TimeUnit.MILLISECONDS);
        } else {
            retryOrFail(mayRetry(verdict), reason);
        }
    }

    /** Records a failed attempt, with the other parameters of {@link #onAttemptFailed}. */
    void recordFailedAttempt(UpstreamAttempt failed, Verdict verdict, String reason, boolean upstreamFull) {
        cancelReplacement();
        attempt = null;
        endAttempt(failed.upstream(), verdict, reason);
        recordRefusal(failed.upstream(), verdict, upstreamFull);
        countPossibleRun(verdict == Verdict.MAY_HAVE_RUN);
        AttemptLog.failed(context, this, attempts, failed, verdict, reason);
    }

    private void recordRefusal(Upstream upstream, Verdict verdict, boolean upstreamFull) {
        if (verdict == Verdict.NOT_RUN) {
            upstream.recordRefusal(context.time().nanoTime(), upstreamFull ? FULL_PAUSE : MISMATCH_PAUSE);
        }
    }

    /** Sends a request that may have crashed its upstream to another one only if its prompt is known to be harmless. */
    private void retryOnceCleared(String reason) {
        if (!closed) {
            retryOrFail(context.mayResend(request), reason);
        }
    }

    private void retryOrFail(boolean retry, String reason) {
        mayHaveCrashedUpstream = false;
        if (retry && context.tryRetry(service)) {
            context.enqueue(this, service);
        } else {
            fail(reason);
        }
    }

    /** Returns whether the request could be sent to another upstream if the current attempt failed. */
    boolean canRetryElsewhere() {
        return mayBeSentElsewhere() && context.retryAvailable(service);
    }

    /** Returns the same without regard to the retry budget. */
    boolean mayBeSentElsewhere() {
        return attempts < MAX_ATTEMPTS
                && possibleRuns + (hedge.isOpen() ? 2 : 1) < route.maxUpstreams()
                && context.hasUntriedUpstream(this);
    }

    private boolean mayRetry(Verdict verdict) {
        boolean allowed = verdict == Verdict.NOT_RUN ? !mayHaveRun || route.repeatable() : route.repeatable();
        return allowed && attempts < MAX_ATTEMPTS && possibleRuns < route.maxUpstreams();
    }

    private void fail(String reason) {
        if (responseStarted) {
            close();
            writer.abort();
            reportEnd(0, Verdict.MAY_HAVE_RUN, reason);
        } else if (mayHaveRun) {
            respond(502, Verdict.MAY_HAVE_RUN, reason, Optional.empty());
        } else {
            respond(503, Verdict.NOT_RUN, reason, Optional.of(context.retryAfter()));
        }
    }

    private Future<?> timerAt(long nanos) {
        return context.loop().schedule(this::onDeadline, nanos - context.time().nanoTime(), TimeUnit.NANOSECONDS);
    }

    /** Ends the request, or a response that has started as late as the caller may still be waiting for it. */
    private void onDeadline() {
        if (responseStarted && context.time().nanoTime() - latestDeadlineNanos < 0) {
            deadlineTimer = timerAt(latestDeadlineNanos);
        } else {
            end(504, "deadline");
        }
    }

    /** Ends the request because the process is about to exit; only a response that has started is cut off. */
    public void endBeforeExit() {
        end(502, "stopping");
    }

    /** Ends the request at once, with the given status if it may have run and its response has not started. */
    private void end(int statusIfMayHaveRun, String reason) {
        if (closed) {
            return;
        }
        boolean sent = openAttempts().stream().anyMatch(UpstreamAttempt::sent);
        cancelAttempt(sent ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN, reason);
        if (responseStarted) {
            close();
            writer.abort();
            reportEnd(0, Verdict.MAY_HAVE_RUN, reason);
        } else if (sent || mayHaveRun) {
            respond(statusIfMayHaveRun, Verdict.MAY_HAVE_RUN, reason, Optional.empty());
        } else {
            respond(503, Verdict.NOT_RUN, reason, Optional.of(context.retryAfter()));
        }
    }

    private void onCallerDisconnected() {
        if (closed) {
            return;
        }
        cancelAttempt(Verdict.MAY_HAVE_RUN, "caller-left");
        close();
        reportEnd(0, attempts > 0 ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN, "caller-left");
    }

    /** Cancels the open attempt, or removes the request from the queue if there is none. */
    private void cancelAttempt(Verdict verdict, String reason) {
        if (attempt == null) {
            context.dequeue(this, service);
            return;
        }
        endAttempt(attempt.upstream(), verdict, reason);
        attempt.cancel();
        attempt = null;
    }

    private void endAttempt(Upstream upstream, Verdict verdict, String reason) {
        history.end(verdict, reason);
        context.onAttemptEnded(upstream.id(), reason);
    }

    private void respond(int status, Verdict verdict, String reason, Optional<Duration> retryAfter) {
        close();
        HttpHeaders headers = new DefaultHttpHeaders();
        retryAfter.ifPresent(after -> headers.set(HttpHeaderNames.RETRY_AFTER, RetryAfter.format(after)));
        writer.writeFull(status, headers, Unpooled.EMPTY_BUFFER);
        reportEnd(status, verdict, reason);
    }

    private void close() {
        closed = true;
        cancelReplacement();
        cancelEarlierAttempt("request-ended");
        hedge.cancelTimer();
        deadlineTimer.cancel(false);
    }

    private void reportEnd(int status, Verdict verdict, String reason) {
        context.onEnded(
                this,
                new ExchangeOutcome(
                        status, verdict, reason, responseStarted, lastUpstream(), digest.hex(), history.traces()));
    }

    private String lastUpstream() {
        return attempt == null ? "" : attempt.upstream().id();
    }
}
