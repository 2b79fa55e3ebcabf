package org.masticcroft.gateway.metrics;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import org.masticcroft.gateway.config.CallerLimits;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.http.HttpServer;
import org.masticcroft.kernel.time.TimeSource;

/** Serves the metrics of the process in the Prometheus text format at {@code /metrics}. */
public final class MetricsServer {
    private static final String PATH = "/metrics";
    private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private MetricsServer() {}

    /** Starts to serve at an address. */
    public static void listen(EventLoop loop, TimeSource time, Address address, ProcessMetrics metrics) {
        HttpServer.of(loop, time, CallerLimits::defaults, (head, body, writer) -> {
                    boolean found = head.uri().equals(PATH);
                    HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE);
                    writer.writeFull(
                            found ? 200 : 404,
                            headers,
                            found
                                    ? Unpooled.copiedBuffer(metrics.text(), StandardCharsets.UTF_8)
                                    : Unpooled.EMPTY_BUFFER);
                })
                .listen(address);
    }
}
