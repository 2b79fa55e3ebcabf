package org.masticcroft.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.masticcroft.gateway.config.RouteKind;
import org.masticcroft.gateway.dispatch.Upstream;
import org.masticcroft.gateway.http.Call;
import org.masticcroft.gateway.http.CallFailure;
import org.masticcroft.gateway.http.Forwarding;
import org.masticcroft.gateway.http.ResponseHead;
import org.masticcroft.gateway.http.ResponseListener;
import org.masticcroft.kernel.verdict.Verdict;

/** One send of a request to an upstream. */
final class UpstreamAttempt implements ResponseListener {
    /** Idle time after which a connection is not used again, because it may have gone silent. */
    private static final Duration REUSE = Duration.ofMillis(1500);

    private final Exchange exchange;
    private final ExchangeContext context;
    private final Upstream upstream;
    private final long startNanos;
    private Call call;
    private ResponseHead head;
    private HttpHeaders headers;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private boolean firstByte;
    private boolean over;
    private long lastByteNanos;

    private UpstreamAttempt(Exchange exchange, ExchangeContext context, Upstream upstream) {
        this.exchange = exchange;
        this.context = context;
        this.upstream = upstream;
        this.startNanos = context.time().nanoTime();
        this.lastByteNanos = startNanos;
    }

    static UpstreamAttempt send(Exchange exchange, ExchangeContext context, Upstream upstream, Forwarding forwarding) {
        UpstreamAttempt attempt = new UpstreamAttempt(exchange, context, upstream);
        upstream.started(exchange.promptTokens(), attempt.lastByteNanos);
        // A connection that the upstream closes while the request is on its way leaves the outcome open.
        Duration reuse = exchange.route().kind() == RouteKind.AT_MOST_ONCE ? Duration.ZERO : REUSE;
        attempt.call = context.caller()
                .send(
                        upstream.listing().address(),
                        context.dialect().encode(exchange.request(), forwarding),
                        reuse,
                        attempt);
        return attempt;
    }

    Upstream upstream() {
        return upstream;
    }

    boolean sent() {
        return call.sent();
    }

    /** Returns the time since the request was sent. */
    Duration age() {
        return context.time().since(startNanos);
    }

    boolean answered() {
        return firstByte;
    }

    Duration silence(long nowNanos) {
        return Duration.ofNanos(nowNanos - lastByteNanos);
    }

    /** Ends the attempt without a decision on what follows. */
    void cancel() {
        leave();
        call.cancel();
    }

    /** Ends the attempt because the upstream is silent. */
    void giveUp() {
        boolean sent = call.sent();
        call.cancel();
        onFailure(sent ? CallFailure.TIMED_OUT : CallFailure.NOT_CONNECTED);
    }

    @Override
    public boolean accepts(HttpResponse response) {
        Optional<String> id = context.dialect().decode(response).attemptId();
        return id.isEmpty() || id.get().equals(exchange.id());
    }

    @Override
    public void onHead(HttpResponse response) {
        heard();
        head = context.dialect().decode(response);
        headers = context.dialect().forwardedHeaders(response);
        upstream.served(head.weightsVersion());
    }

    @Override
    public void onContent(ByteBuf content) {
        heard();
        if (!streaming()) {
            body = Unpooled.copiedBuffer(body, content);
            return;
        }
        ByteBuf passed = exchange.events().read(content);
        if (exchange.events().gap()) {
            call.cancel();
            fail(Verdict.MAY_HAVE_RUN, "event-missing");
            return;
        }
        if (!passed.isReadable()) {
            return;
        }
        markFirstByte();
        upstream.took();
        if (!exchange.answering()) {
            exchange.startAnswer(head.status(), headers);
        }
        exchange.part(passed);
    }

    @Override
    public void onEnd() {
        if (over) {
            return;
        }
        heard();
        if (streaming()) {
            endStream();
        } else if (head.notRun()) {
            refused();
        } else if (head.success()) {
            upstream.succeeded(context.time().nanoTime());
            leave();
            exchange.passOn(head, headers, body);
        } else {
            failedAnswer();
        }
    }

    @Override
    public void onFailure(CallFailure failure) {
        if (over) {
            return;
        }
        upstream.failed(context.time().nanoTime());
        if (failure.verdict() == Verdict.MAY_HAVE_RUN && !firstByte) {
            context.brokeOff(exchange, upstream.id());
        }
        if (failure == CallFailure.NOT_CONNECTED) {
            context.caller().closeIdle(upstream.listing().address());
        }
        fail(failure.verdict(), failure.name().toLowerCase(Locale.ROOT).replace('_', '-'));
    }

    private boolean streaming() {
        return exchange.streams() && head.success();
    }

    private void endStream() {
        if (exchange.events().partial() || !exchange.answering()) {
            upstream.failed(context.time().nanoTime());
            fail(Verdict.MAY_HAVE_RUN, "stream-broken-off");
            return;
        }
        upstream.succeeded(context.time().nanoTime());
        leave();
        exchange.endAnswer();
    }

    private void refused() {
        if (head.wrongUpstream()) {
            fail(Verdict.NOT_RUN, "wrong-upstream", false);
        } else {
            fail(Verdict.NOT_RUN, "upstream-full", true);
        }
    }

    private void failedAnswer() {
        upstream.failed(context.time().nanoTime());
        boolean unsigned = head.status() / 100 == 2;
        if (exchange.answering()
                || unsigned
                || promisesNotRun(head.status())
                || (head.status() >= 500 && exchange.canRepeat())) {
            fail(Verdict.MAY_HAVE_RUN, "upstream-status-" + head.status());
            return;
        }
        leave();
        exchange.passOn(head, headers, body);
    }

    /** Returns whether callers take a status as a promise; without the upstream's own word it must not reach them. */
    private static boolean promisesNotRun(int status) {
        return status == 408 || status == 429 || status == 503;
    }

    private void fail(Verdict verdict, String reason) {
        fail(verdict, reason, false);
    }

    private void fail(Verdict verdict, String reason, boolean wasFull) {
        leave();
        exchange.attemptFailed(upstream, verdict, reason, wasFull);
    }

    private void heard() {
        lastByteNanos = context.time().nanoTime();
        upstream.heard(lastByteNanos);
    }

    private void markFirstByte() {
        if (!firstByte) {
            firstByte = true;
            upstream.firstByte(exchange.promptTokens());
        }
    }

    private void leave() {
        if (!over) {
            over = true;
            markFirstByte();
            upstream.ended();
            context.roomAt(upstream.listing().service());
        }
    }
}
