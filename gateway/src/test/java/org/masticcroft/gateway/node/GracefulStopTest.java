package org.masticcroft.gateway.node;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.config.CallerLimits;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.http.HttpServer;
import org.masticcroft.kernel.time.TimeSource;

class GracefulStopTest {
    private static final Duration LIMIT = Duration.ofSeconds(6);

    /** More than the kernel buffers for a connection. */
    private static final int RESPONSE_BYTES = 6_000_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final TimeSource time = TimeSource.system();
    private final HttpServer callers = HttpServer.of(
            loop,
            time,
            CallerLimits::defaults,
            (head, body, writer) ->
                    writer.writeFull(200, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(new byte[RESPONSE_BYTES])));
    private final Address address = new Address("127.0.0.1", freePort());
    private final GracefulStop stop = new GracefulStop(loop, time, callers, LIMIT);
    private final CompletableFuture<Long> unsentAtEnd = new CompletableFuture<>();

    GracefulStopTest() throws IOException {
        callers.listen(address);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private void begin() {
        stop.request(time.nanoTime());
        loop.execute(() -> stop.begin(() -> {}, () -> unsentAtEnd.complete(callers.unsentBytes())));
    }

    private Socket request() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(65_536);
        socket.setSoTimeout(10_000);
        socket.connect(new InetSocketAddress("127.0.0.1", address.port()));
        socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".getBytes(ISO_8859_1));
        return socket;
    }

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Nested
    class ACompleteResponse {
        /** Guards against an exit that discards the end of a response which a slow caller is about to read. */
        @Test
        void isSentIfTheCallerReadsRightAfterTheLimit() throws Exception {
            try (Socket socket = request()) {
                begin();
                TimeUnit.MILLISECONDS.sleep(LIMIT.plusMillis(150).toMillis());
                assertThat(socket.getInputStream().readAllBytes()).hasSizeGreaterThan(RESPONSE_BYTES);

                assertThat(unsentAtEnd.get(5, TimeUnit.SECONDS)).isZero();
            }
        }

        /** Guards against an exit that waits for a caller that does not read. */
        @Test
        void doesNotDelayTheExitBeyondTheGracePeriod() throws Exception {
            try (Socket socket = request()) {
                begin();

                assertThat(unsentAtEnd.get(LIMIT.plusMillis(800).toMillis(), TimeUnit.MILLISECONDS))
                        .isPositive();
                assertThat(socket.isConnected()).isTrue();
            }
        }

        /** Guards against an exit before the last bytes are sent, although the grace period is not over. */
        @Test
        void isSentIfTheCallerReadsBeforeTheLimit() throws Exception {
            try (Socket socket = request()) {
                begin();
                TimeUnit.MILLISECONDS.sleep(LIMIT.minusMillis(1500).toMillis());
                assertThat(unsentAtEnd).isNotDone();
                assertThat(socket.getInputStream().readAllBytes()).hasSizeGreaterThan(RESPONSE_BYTES);

                assertThat(unsentAtEnd.get(1, TimeUnit.SECONDS)).isZero();
            }
        }
    }
}
