package org.masticcroft.gateway.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.config.CallerLimits;
import org.masticcroft.kernel.time.TimeSource;

/** Connections that the server closes while the caller still sends or reads. */
class ConnectionCloseTest {
    private static final int MAX_BODY_BYTES = 65_536;

    /** More than the kernel buffers for a connection. */
    private static final int RESPONSE_BYTES = 16_000_000;

    private static final CallerLimits LIMITS =
            new CallerLimits(2000, MAX_BODY_BYTES, Duration.ofMillis(1500), Duration.ofSeconds(30));

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final Queue<String> handled = new ConcurrentLinkedQueue<>();
    private final CountDownLatch open = new CountDownLatch(1);
    private volatile ResponseWriter openWriter;
    private volatile byte[] content = {'o', 'k'};
    private final HttpServer server = HttpServer.of(loop, TimeSource.system(), () -> LIMITS, (head, body, writer) -> {
        handled.add(head.uri());
        if (head.uri().equals("/open")) {
            openWriter = writer;
            open.countDown();
            return;
        }
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        if (head.uri().equals("/refused")) {
            headers.set(HttpHeaderNames.CONNECTION, "close");
        }
        writer.writeFull(200, headers, Unpooled.wrappedBuffer(content));
    });
    private final Address address = new Address("127.0.0.1", freePort());

    ConnectionCloseTest() throws IOException {
        server.listen(address);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private Socket connect(int receiveBufferBytes) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(receiveBufferBytes);
        socket.setSoTimeout(10_000);
        socket.connect(new InetSocketAddress("127.0.0.1", address.port()));
        return socket;
    }

    private static byte[] request(String path) {
        return ("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(ISO_8859_1);
    }

    private static String readHead(Socket socket) throws IOException {
        return readResponse(socket, "\r\n\r\n");
    }

    private static String readResponse(Socket socket, String end) throws IOException {
        StringBuilder read = new StringBuilder();
        while (!read.toString().endsWith(end)) {
            int b = socket.getInputStream().read();
            assertThat(b).as("connection closed after: " + read).isNotNegative();
            read.append((char) b);
        }
        return read.toString();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Nested
    class ARequestBehindTheLastResponse {
        /** Guards against a request that is passed on although the connection closes before its response. */
        @Test
        void isNotHandledIfItArrivedTogetherWithARefusedRequest() throws Exception {
            try (Socket socket = connect(65_536)) {
                socket.getOutputStream()
                        .write((new String(request("/refused"), ISO_8859_1) + new String(request("/next"), ISO_8859_1))
                                .getBytes(ISO_8859_1));
                readResponse(socket, "ok");
                assertThat(socket.getInputStream().read()).isNegative();
            }
            loop.submit(() -> {}).sync();
            assertThat(handled).containsExactly("/refused");
        }

        /** Guards against a request that is passed on while the last response still waits for a slow caller. */
        @Test
        void isNotHandledWhileTheLastResponseIsBeingSent() throws Exception {
            content = new byte[RESPONSE_BYTES];
            try (Socket socket = connect(4096)) {
                socket.getOutputStream().write(request("/refused"));
                TimeUnit.MILLISECONDS.sleep(300);
                socket.getOutputStream().write(request("/next"));
                TimeUnit.MILLISECONDS.sleep(300);
                byte[] response = socket.getInputStream().readAllBytes();

                assertThat(response).hasSizeGreaterThanOrEqualTo(content.length);
            }
            assertThat(handled).containsExactly("/refused");
        }
    }

    @Nested
    class AnIdleConnection {
        private static final Duration IDLE_BEFORE_CLOSE = Duration.ofMillis(500);

        /** Guards against a request that is reset because it arrived while the event loop was late. */
        @Test
        void staysOpenIfARequestHasArrived() throws Exception {
            try (Socket socket = connect(65_536)) {
                socket.getOutputStream().write(request("/first"));
                readResponse(socket, "ok");
                CountDownLatch blocked = new CountDownLatch(1);
                CountDownLatch release = new CountDownLatch(1);
                loop.execute(() -> {
                    blocked.countDown();
                    await(release);
                    server.closeIdle(Duration.ZERO);
                });
                blocked.await();
                socket.getOutputStream().write(request("/next"));
                release.countDown();

                assertThat(readResponse(socket, "ok")).startsWith("HTTP/1.1 200");
            }
        }

        /** Guards against a close at the moment when a slow caller has read its response and sends the next request. */
        @Test
        void countsAsIdleOnlyOnceItsResponseIsSent() throws Exception {
            content = new byte[RESPONSE_BYTES];
            loop.scheduleAtFixedRate(() -> server.closeIdle(IDLE_BEFORE_CLOSE), 20, 20, TimeUnit.MILLISECONDS);
            try (Socket socket = connect(4096)) {
                socket.getOutputStream().write(request("/first"));
                readHead(socket);
                TimeUnit.MILLISECONDS.sleep(2 * IDLE_BEFORE_CLOSE.toMillis());
                assertThat(socket.getInputStream().readNBytes(RESPONSE_BYTES)).hasSize(RESPONSE_BYTES);
                content = new byte[] {'o', 'k'};
                TimeUnit.MILLISECONDS.sleep(IDLE_BEFORE_CLOSE.toMillis() / 10);
                socket.getOutputStream().write(request("/next"));

                assertThat(readResponse(socket, "ok")).startsWith("HTTP/1.1 200");
            }
        }
    }

    @Nested
    class AnOpenRequest {
        /** Guards against a request that runs and gets no response because the one behind it is invalid. */
        @Test
        void isAnsweredThoughTheNextOneIsInvalid() throws Exception {
            try (Socket socket = connect(65_536)) {
                socket.getOutputStream().write(request("/open"));
                await(open);
                socket.getOutputStream().write("invalid\r\n\r\n".getBytes(ISO_8859_1));
                loop.schedule(
                        () -> openWriter.writeFull(200, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(content)),
                        200,
                        TimeUnit.MILLISECONDS);

                assertThat(readResponse(socket, "ok"))
                        .startsWith("HTTP/1.1 200")
                        .containsIgnoringCase("connection: close");
                assertThat(socket.getInputStream().read()).isNegative();
            }
        }
    }

    @Nested
    class ARefusedRequest {
        private static final int CHUNK_BYTES = 16_384;
        private static final int CHUNKS = 600;
        private static final int REPETITIONS = 20;

        /** Guards against a reset, while the rest of a body arrives, that discards the response. */
        @Test
        void getsItsResponseThoughItsBodyIsStillBeingSent() throws Exception {
            for (int i = 0; i < REPETITIONS; i++) {
                try (Socket socket = connect(65_536)) {
                    socket.getOutputStream()
                            .write("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    .getBytes(ISO_8859_1));
                    byte[] chunk = (Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n")
                            .getBytes(ISO_8859_1);
                    for (int n = 0; n < CHUNKS; n++) {
                        socket.getOutputStream().write(chunk);
                    }
                    assertThat(readHead(socket)).startsWith("HTTP/1.1 413");
                }
            }
        }
    }
}
