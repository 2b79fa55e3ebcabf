package org.masticcroft.gateway.metrics;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Function;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.http.CallerPressure;
import org.masticcroft.gateway.http.HttpServer;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Serves the metrics of the process in the Prometheus text format at {@code /metrics}, and at an entry explanations of
 * where a request would be sent at {@code /explain}.
 */
public final class MetricsServer {
    private static final String PATH = "/metrics";
    private static final String EXPLAIN_PATH = "/explain?";
    private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private MetricsServer() {}

    /**
     * Starts to serve metrics at an address.
     *
     * @param pressure owner of what the callers make the process hold
     */
    public static void listen(
            EventLoop loop, TimeSource time, Address address, CallerPressure pressure, ProcessMetrics metrics) {
        serve(
                loop,
                time,
                address,
                pressure,
                uri -> uri.equals(PATH) ? new Reply(200, metrics.text()) : Reply.NOT_FOUND);
    }

    /**
     * Starts to serve metrics and explanations at an address.
     *
     * @param pressure owner of what the callers make the process hold
     * @param explain returns the explanation for a URI; empty if its parameters are not valid
     */
    public static void listen(
            EventLoop loop,
            TimeSource time,
            Address address,
            CallerPressure pressure,
            ProcessMetrics metrics,
            Function<String, Optional<String>> explain) {
        serve(loop, time, address, pressure, uri -> {
            if (uri.startsWith(EXPLAIN_PATH)) {
                return explain.apply(uri).map(text -> new Reply(200, text)).orElse(new Reply(400, ""));
            }
            return uri.equals(PATH) ? new Reply(200, metrics.text()) : Reply.NOT_FOUND;
        });
    }

    private static void serve(
            EventLoop loop,
            TimeSource time,
            Address address,
            CallerPressure pressure,
            Function<String, Reply> replies) {
        HttpServer.withoutBodies(loop, time, pressure, (head, body, writer) -> {
                    Reply reply = replies.apply(head.uri());
                    HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE);
                    writer.writeFull(
                            reply.status(), headers, Unpooled.copiedBuffer(reply.text(), StandardCharsets.UTF_8));
                })
                .listen(address);
    }

    private record Reply(int status, String text) {
        static final Reply NOT_FOUND = new Reply(404, "");
    }
}
