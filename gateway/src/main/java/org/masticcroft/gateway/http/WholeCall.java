package org.masticcroft.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A call whose answer is collected as a whole, with a limit on its time. */
public final class WholeCall implements ResponseListener {
    private final Consumer<Result> result;
    private Future<?> timer;
    private Call call;
    private int status;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private boolean over;

    private WholeCall(Consumer<Result> result) {
        this.result = result;
    }

    /**
     * Sends a request and passes the answer, or the reason for which there is none, to the consumer.
     *
     * @param caller HTTP client
     * @param loop event loop of the client
     * @param address where to send it
     * @param request the request
     * @param limits reuse of connections and time limit
     * @param result receives the outcome once
     */
    public static void send(
            PooledHttpClient caller,
            EventLoop loop,
            Address address,
            FullHttpRequest request,
            Limits limits,
            Consumer<Result> result) {
        WholeCall whole = new WholeCall(result);
        whole.timer = loop.schedule(whole::timedOut, limits.timeout().toNanos(), TimeUnit.NANOSECONDS);
        whole.call = caller.send(address, request, limits.reuse(), whole);
    }

    @Override
    public void onHead(HttpResponse head) {
        status = head.status().code();
    }

    @Override
    public void onContent(ByteBuf content) {
        body = Unpooled.copiedBuffer(body, content);
    }

    @Override
    public void onEnd() {
        end(new Result(status, body, ""));
    }

    @Override
    public void onFailure(CallFailure failure) {
        end(new Result(0, Unpooled.EMPTY_BUFFER, failure.name()));
    }

    private void timedOut() {
        if (!over) {
            call.cancel();
            end(new Result(0, Unpooled.EMPTY_BUFFER, CallFailure.TIMED_OUT.name()));
        }
    }

    private void end(Result outcome) {
        if (!over) {
            over = true;
            timer.cancel(false);
            result.accept(outcome);
        }
    }

    /**
     * Limits of a call.
     *
     * @param reuse how long an idle connection may have been idle to be used again
     * @param timeout longest time until the answer is complete
     */
    public record Limits(Duration reuse, Duration timeout) {}

    /**
     * Outcome of a call.
     *
     * @param status HTTP status; 0 if there was no complete answer
     * @param body body of the answer
     * @param failure why there was no complete answer; empty otherwise
     */
    public record Result(int status, ByteBuf body, String failure) {
        /** Returns whether the answer is complete and has status 200. */
        public boolean ok() {
            return status == 200;
        }

        /** Returns a short description of a failure for logs. */
        public String reason() {
            return status == 0 ? failure : "status " + status;
        }
    }
}
