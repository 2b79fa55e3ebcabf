package org.masticcroft.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.masticcroft.kernel.time.TimeSource;

/** A call that buffers the complete response, with a timeout. */
public final class BufferedCall implements ResponseListener {
    /** Maximum size of a response; the largest proper ones are pages of the store, of about 1.4 MB. */
    private static final int MAX_BODY_BYTES = 4_194_304;

    private final EventLoop loop;
    private final TimeSource time;
    private final Limits limits;
    private final Consumer<Result> onResult;
    private final long startNanos;
    private long firstPartNanos;
    private long lastPartNanos;
    private boolean receiving;
    private Future<?> timer;
    private Call call;
    private int status;
    private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
    private final ByteBuf body = Unpooled.buffer();
    private boolean completed;

    private BufferedCall(EventLoop loop, TimeSource time, Limits limits, Consumer<Result> onResult) {
        this.loop = loop;
        this.time = time;
        this.limits = limits;
        this.onResult = onResult;
        this.startNanos = time.nanoTime();
        this.lastPartNanos = startNanos;
    }

    /**
     * Sends a request and passes the complete response, or the failure, to the consumer.
     *
     * @param client HTTP client
     * @param loop event loop of the client
     * @param address address of the server
     * @param request the request
     * @param limits connection reuse and timeouts
     * @param onResult receives the result once
     */
    public static void send(
            PooledHttpClient client,
            EventLoop loop,
            Address address,
            FullHttpRequest request,
            Limits limits,
            Consumer<Result> onResult) {
        BufferedCall buffered = new BufferedCall(loop, client.time(), limits, onResult);
        buffered.awaitParts(limits.timeout());
        buffered.call = client.send(address, request, limits.maxIdle(), buffered);
    }

    @Override
    public void onHead(HttpResponse head) {
        lastPartNanos = time.nanoTime();
        receiving = true;
        firstPartNanos = lastPartNanos;
        status = head.status().code();
        headers = head.headers();
    }

    @Override
    public void onContent(ByteBuf content) {
        lastPartNanos = time.nanoTime();
        if (body.readableBytes() + content.readableBytes() > MAX_BODY_BYTES) {
            call.cancel();
            onFailure(CallFailure.MALFORMED);
            return;
        }
        body.writeBytes(content, content.readerIndex(), content.readableBytes());
    }

    @Override
    public void onEnd() {
        end(new Result(status, headers, body, time.since(firstPartNanos), ""));
    }

    @Override
    public void onFailure(CallFailure failure) {
        end(Result.failed(failure));
    }

    private void awaitParts(Duration wait) {
        timer = loop.schedule(this::checkTimeouts, wait.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void checkTimeouts() {
        if (completed) {
            return;
        }
        Duration silence = receiving ? limits.betweenParts() : limits.timeout();
        Duration left = silence.minus(time.since(lastPartNanos));
        Duration leftInAll = limits.longest().minus(time.since(startNanos));
        Duration wait = left.compareTo(leftInAll) < 0 ? left : leftInAll;
        if (wait.isZero() || wait.isNegative()) {
            call.cancel();
            end(Result.failed(CallFailure.TIMED_OUT));
        } else {
            awaitParts(wait);
        }
    }

    private void end(Result result) {
        if (!completed) {
            completed = true;
            timer.cancel(false);
            onResult.accept(result);
        }
    }

    /**
     * Limits of a call.
     *
     * @param maxIdle longest time that a pooled connection may have been idle to be reused
     * @param timeout longest time until the first part of the response
     * @param betweenParts longest time between two parts of the response
     * @param longest longest time until the response is complete
     */
    public record Limits(Duration maxIdle, Duration timeout, Duration betweenParts, Duration longest) {
        /** Creates the limits of a call whose response must be complete within the timeout. */
        public Limits(Duration maxIdle, Duration timeout) {
            this(maxIdle, timeout, timeout, timeout);
        }
    }

    /**
     * Result of a call.
     *
     * @param status HTTP status; 0 if there was no complete response
     * @param headers headers of the response; empty if there was no complete response
     * @param body body of the response
     * @param transferTime time from the first part of the response to its end; zero if it was not complete
     * @param failure why there was no complete response; empty otherwise
     */
    public record Result(int status, HttpHeaders headers, ByteBuf body, Duration transferTime, String failure) {
        private static Result failed(CallFailure failure) {
            return new Result(0, EmptyHttpHeaders.INSTANCE, Unpooled.EMPTY_BUFFER, Duration.ZERO, failure.name());
        }

        /** Returns whether the response is complete and has status 200. */
        public boolean ok() {
            return status == 200;
        }

        /** Returns a short description of a failure for logs. */
        public String reason() {
            return status == 0 ? failure : "status " + status;
        }
    }
}
