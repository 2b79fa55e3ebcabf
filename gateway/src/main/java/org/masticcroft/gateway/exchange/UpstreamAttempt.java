package org.masticcroft.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.masticcroft.gateway.dispatch.Upstream;
import org.masticcroft.gateway.http.Call;
import org.masticcroft.gateway.http.CallFailure;
import org.masticcroft.gateway.http.Forwarding;
import org.masticcroft.gateway.http.ResponseHead;
import org.masticcroft.gateway.http.ResponseListener;
import org.masticcroft.gateway.http.ResponseMatch;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.verdict.Verdict;

/** One attempt to have a request served by an upstream. */
final class UpstreamAttempt implements ResponseListener {
    /** Maximum idle time of a connection that is reused; after a longer time its peer may no longer respond. */
    private static final Duration MAX_REUSE_IDLE_TIME = Duration.ofMillis(1500);

    /** Maximum size of a response that is not a stream; a longer one is taken for bytes without end. */
    private static final int MAX_BODY_BYTES = 4_194_304;

    private final Exchange exchange;
    private final ExchangeContext context;
    private final Upstream upstream;
    private final long startNanos;
    private final OptionalLong weightsVersion;
    private Call call;
    private ResponseHead head;
    private HttpHeaders headers;
    private Optional<String> mediaType = Optional.empty();
    private final ResponseMemory.Buffer body;
    private final EventReader events;
    private boolean contentReceived;
    private boolean firstByteReceived;
    private boolean eventReceived;
    private boolean closed;
    private boolean paused;
    private long lastProgressNanos;
    private OptionalLong sentNanos = OptionalLong.empty();

    private UpstreamAttempt(Exchange exchange, ExchangeContext context, Upstream upstream) {
        this.exchange = exchange;
        this.context = context;
        this.upstream = upstream;
        this.startNanos = context.time().nanoTime();
        this.weightsVersion = upstream.servedVersion();
        this.lastProgressNanos = startNanos;
        this.body = context.responseMemory().newBuffer(this::failMalformed);
        this.events = EventReader.after(exchange.lastEventId());
    }

    static UpstreamAttempt send(Exchange exchange, ExchangeContext context, Upstream upstream) {
        UpstreamAttempt attempt = new UpstreamAttempt(exchange, context, upstream);
        upstream.recordSend(exchange.promptTokens(), attempt.startNanos);
        upstream.addMemoryTokens(exchange.memoryTokens(), exchange.promptTokens());
        // If the upstream closes a reused connection while the request is on its way, it is unknown whether the request
        // ran. A request that may run at most once, such as a stream that cannot be resumed, therefore gets a new
        // connection.
        Duration maxReuseIdleTime = exchange.route().repeatable() ? MAX_REUSE_IDLE_TIME : Duration.ZERO;
        attempt.call = context.httpClient()
                .send(
                        upstream.listing().address(),
                        context.dialect().encode(exchange.request(), attempt.forwarding()),
                        maxReuseIdleTime,
                        attempt);
        if (attempt.call.sent()) {
            attempt.sentNanos = OptionalLong.of(attempt.startNanos);
        }
        return attempt;
    }

    private Forwarding forwarding() {
        OptionalLong resumeAfter =
                exchange.lastEventId() > 0 ? OptionalLong.of(exchange.lastEventId()) : OptionalLong.empty();
        return new Forwarding(
                upstream.id(),
                Optional.of(exchange.remaining(startNanos)),
                Optional.of(exchange.customer()).filter(name -> !name.isEmpty()),
                exchange.isStream() ? OptionalInt.of(exchange.rank().urgency()) : OptionalInt.empty(),
                exchange.request().generation().isPresent() ? weightsVersion : OptionalLong.empty(),
                exchange.isStream() ? resumeAfter : exchange.request().resumeAfter());
    }

    Upstream upstream() {
        return upstream;
    }

    boolean sent() {
        return call.sent();
    }

    /** Returns the time from the choice of the upstream until the request was sent; empty if it was not. */
    Optional<Duration> timeToSend() {
        return sentNanos.isEmpty()
                ? Optional.empty()
                : Optional.of(Duration.ofNanos(sentNanos.getAsLong() - startNanos));
    }

    /** Returns the time since the upstream was chosen. */
    Duration age() {
        return context.time().since(startNanos);
    }

    boolean firstByteReceived() {
        return firstByteReceived;
    }

    /**
     * Returns the time since the response last made progress, or since the request was sent. A stream makes progress
     * with each complete event, any other response with each byte. A response that its caller does not read makes the
     * progress that it can.
     */
    Duration timeSinceProgress(long nowNanos) {
        return paused ? Duration.ZERO : Duration.ofNanos(nowNanos - lastProgressNanos);
    }

    /** Cancels the attempt without reporting a failure to the exchange. */
    void cancel() {
        close();
        call.cancel();
    }

    /** Ends the attempt because the upstream has stalled and the request is about to be sent to another one. */
    void abandon() {
        boolean sent = call.sent();
        call.cancel();
        CallFailure failure = sent ? CallFailure.TIMED_OUT : CallFailure.NOT_CONNECTED;
        recordFailure(failure);
        close();
        exchange.recordFailedAttempt(this, failure.verdict(), reason(failure), false);
    }

    /** Records that the upstream has stalled, without ending the attempt. */
    void recordStall() {
        recordFailure(CallFailure.TIMED_OUT);
        exchange.recordStalledAttempt(this, reason(CallFailure.TIMED_OUT));
    }

    /** Returns whether the upstream has begun to answer the request, with weights that no later version replaces. */
    boolean begun() {
        return contentReceived;
    }

    /** Returns whether any part of a response was received, so that the upstream has the request. */
    boolean answered() {
        return head != null;
    }

    /** Returns the version of the weights that the request was sent for, if known. */
    OptionalLong weightsVersion() {
        return weightsVersion;
    }

    /** Fails the attempt because the upstream has not begun it in time; the upstream itself has not failed. */
    void withdraw(String reason) {
        boolean sent = call.sent();
        call.cancel();
        fail(sent ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN, reason);
    }

    @Override
    public String requestId() {
        return exchange.id();
    }

    /**
     * Sends nothing if the caller has left while the connection was established, or if the upstream must not get the
     * request any more. The choice of the upstream may be old by now: the connection is established late over a link
     * that is full, or if this process is late.
     */
    @Override
    public void onConnected() {
        context.onConnected(upstream, age());
        if (!exchange.callerConnected()) {
            call.cancel();
            return;
        }
        Optional<String> objection = context.sendObjection(exchange, upstream);
        if (objection.isPresent()) {
            withdraw(objection.get());
        } else {
            sentNanos = OptionalLong.of(context.time().nanoTime());
        }
    }

    @Override
    public ResponseMatch match(HttpResponse response) {
        Optional<String> id = context.dialect().decode(response).attemptId();
        if (id.isEmpty()) {
            return ResponseMatch.UNIDENTIFIED;
        }
        return id.get().equals(exchange.id()) ? ResponseMatch.OWN : ResponseMatch.OTHER;
    }

    @Override
    public void onHead(HttpResponse response) {
        recordByte();
        recordProgress();
        head = context.dialect().decode(response);
        if (!exchange.isStream() && head.success()) {
            exchange.recordTimeToFirstByte(age());
        }
        headers = context.dialect().forwardedHeaders(response);
        mediaType = Optional.ofNullable(HttpUtil.getMimeType(response))
                .map(type -> type.toString().toLowerCase(Locale.ROOT));
        upstream.updateServedVersion(head.weightsVersion());
        head.pause().ifPresent(this::recordPause);
        upstream.recordCold(head.cold(), "stated", context.time().nanoTime());
        if (head.leaving() && upstream.recordLeaving()) {
            context.log()
                    .write(
                            Event.UPSTREAM_NOT_ROUTABLE,
                            "upstream",
                            upstream.id(),
                            "reason",
                            "says-leaving",
                            "request",
                            exchange.id());
        }
    }

    @Override
    public void onContent(ByteBuf content) {
        recordByte();
        contentReceived = true;
        if (!streaming()) {
            addToBody(content);
            return;
        }
        long lastEventId = events.lastEventId();
        ByteBuf completeEvents = events.read(content);
        if (events.lastEventId() > lastEventId) {
            eventReceived = true;
            recordProgress();
            exchange.onEvent(this, events.lastEventId());
        }
        if (completeEvents.isReadable()) {
            forward(completeEvents);
        }
        if (events.hasGap()) {
            call.cancel();
            fail(Verdict.MAY_HAVE_RUN, "event-missing");
        } else if (events.invalid()) {
            failMalformed();
        }
    }

    @Override
    public void onEnd() {
        if (closed) {
            return;
        }
        recordByte();
        if (streaming()) {
            handleStreamEnd();
        } else if (head.notRun()) {
            handleRefusal();
        } else if (head.success() && !exchange.responseStarted()) {
            upstream.recordSuccess(context.time().nanoTime());
            context.onResponseBegun(exchange);
            forwardBody();
        } else {
            handleErrorResponse();
        }
    }

    @Override
    public void onEndFollowedByBytes() {
        if (!closed && !streaming() && !head.notRun() && MergedBody.isPossible(body.content())) {
            onFailure(CallFailure.MALFORMED);
        } else {
            onEnd();
        }
    }

    @Override
    public void onFailure(CallFailure failure) {
        if (closed) {
            return;
        }
        recordFailure(failure);
        fail(failure.verdict(), reason(failure));
    }

    private void recordFailure(CallFailure failure) {
        long now = context.time().nanoTime();
        if (failure == CallFailure.NOT_CONNECTED) {
            if (upstream.recordConnectFailure(startNanos, now)) {
                context.httpClient().closeIdle(upstream.listing().address());
            }
            return;
        }
        upstream.recordFailure(now);
        if (failure.verdict() == Verdict.MAY_HAVE_RUN && !responseBegun()) {
            reportUnanswered(failure);
        }
    }

    private static String reason(CallFailure failure) {
        return failure.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private void recordPause(Duration pause) {
        upstream.recordPause(context.time().nanoTime(), pause);
        context.log()
                .write(
                        Event.UPSTREAM_PAUSED,
                        "upstream",
                        upstream.id(),
                        "ms",
                        pause.toMillis(),
                        "request",
                        exchange.id(),
                        "in_flight",
                        upstream.inFlight());
    }

    private void reportUnanswered(CallFailure failure) {
        if (failure.connectionLost()) {
            exchange.recordPossibleCrash();
        }
        context.onUpstreamFailed(exchange, upstream, failure);
    }

    /** Returns whether the upstream survived the start of the request, so that the request did not crash it. */
    boolean responseBegun() {
        return exchange.isStream() ? firstByteReceived : head != null;
    }

    private void forward(ByteBuf completeEvents) {
        if (!firstByteReceived) {
            context.onResponseBegun(exchange);
        }
        recordFirstByte();
        upstream.recordAcceptance();
        if (!exchange.responseStarted()) {
            exchange.choose(this);
            exchange.startResponse(head.status(), headers, mediaType);
        }
        exchange.forwardChunk(completeEvents);
        if (!paused && exchange.awaitCaller(this::resumeReading)) {
            paused = true;
            call.pauseReading();
        }
    }

    private void resumeReading() {
        paused = false;
        recordProgress();
        call.resumeReading();
    }

    private void addToBody(ByteBuf content) {
        recordProgress();
        if (body.length() + content.readableBytes() > MAX_BODY_BYTES) {
            failMalformed();
            return;
        }
        body.add(content);
    }

    private void failMalformed() {
        call.cancel();
        upstream.recordFailure(context.time().nanoTime());
        fail(Verdict.MAY_HAVE_RUN, "malformed");
    }

    private boolean streaming() {
        return exchange.isStream() && head.success() && exchange.accepts(mediaType);
    }

    private void handleStreamEnd() {
        // A response without a new event does not show that the stream was complete where an earlier one broke off.
        if (events.hasPartial() || !eventReceived) {
            upstream.recordFailure(context.time().nanoTime());
            if (!responseBegun()) {
                // The end of the connection ends a response without a length, also when the upstream has crashed.
                reportUnanswered(CallFailure.CLOSED_EARLY);
            }
            fail(Verdict.MAY_HAVE_RUN, "stream-broken-off");
            return;
        }
        upstream.recordSuccess(context.time().nanoTime());
        close();
        exchange.choose(this);
        exchange.endResponse();
    }

    private void handleRefusal() {
        if (head.wrongUpstream()) {
            upstream.recordMismatch();
            fail(Verdict.NOT_RUN, "wrong-upstream", false);
        } else {
            fail(Verdict.NOT_RUN, "upstream-full", true);
        }
    }

    private void handleErrorResponse() {
        upstream.recordFailure(context.time().nanoTime());
        boolean unsigned = head.status() / 100 == 2;
        if (exchange.responseStarted()
                || exchange.otherMayAnswer(head.status())
                || unsigned
                || impliesNotRun(head.status())
                || (head.status() >= 500 && exchange.canRetryElsewhere())) {
            fail(Verdict.MAY_HAVE_RUN, "upstream-status-" + head.status());
            return;
        }
        forwardBody();
    }

    private void forwardBody() {
        ByteBuf content = body.take();
        exchange.choose(this);
        close();
        exchange.forwardResponse(head, headers, content);
    }

    /**
     * Returns whether callers take a status as a promise that the request did not run. Such a status must not reach
     * them unless the upstream itself states that it did not run the request.
     */
    private static boolean impliesNotRun(int status) {
        return status == 408 || status == 429 || status == 503;
    }

    private void fail(Verdict verdict, String reason) {
        fail(verdict, reason, false);
    }

    private void fail(Verdict verdict, String reason, boolean upstreamFull) {
        close();
        exchange.onAttemptFailed(this, verdict, reason, upstreamFull);
    }

    private void recordByte() {
        upstream.recordByte(context.time().nanoTime());
    }

    private void recordProgress() {
        lastProgressNanos = context.time().nanoTime();
    }

    private void recordFirstByte() {
        if (!firstByteReceived) {
            firstByteReceived = true;
            exchange.recordTimeToFirstByte(age());
            upstream.recordFirstByte(
                    exchange.promptTokens(), startNanos, context.time().nanoTime());
        }
    }

    private void close() {
        if (!closed) {
            closed = true;
            body.close();
            if (!firstByteReceived) {
                upstream.recordNoFirstByte(exchange.promptTokens(), startNanos);
            }
            upstream.recordEnd();
            upstream.addMemoryTokens(-exchange.memoryTokens(), -exchange.promptTokens());
            context.onCapacityFreed(upstream.listing().service());
        }
    }
}
