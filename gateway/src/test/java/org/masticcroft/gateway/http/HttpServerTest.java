package org.masticcroft.gateway.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.config.CallerBudgets;
import org.masticcroft.gateway.config.CallerLimits;
import org.masticcroft.gateway.loop.InputClock;
import org.masticcroft.kernel.time.TimeSource;

class HttpServerTest {
    private static final CallerLimits LIMITS =
            new CallerLimits(2000, 4000, Duration.ofMillis(1500), Duration.ofSeconds(30));
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final HttpServer server = HttpServer.of(loop, TimeSource.system(), () -> LIMITS, (head, body, writer) -> {
        lastBody = body;
        if (head.uri().equals("/chunks")) {
            writer.start(200, new DefaultHttpHeaders());
            writer.end();
            return;
        }
        writer.writeFull(200, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(new byte[] {'o', 'k'}));
    });
    private volatile byte[] lastBody;
    private final Address address = new Address("127.0.0.1", freePort());

    HttpServerTest() throws IOException {
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

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", address.port());
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private static String statusLine(Socket socket) throws IOException {
        return new String(socket.getInputStream().readNBytes("HTTP/1.1 200".length()), ISO_8859_1);
    }

    private static String readToEnd(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
    }

    @Nested
    class Heads {
        /** Guards against callers that hold a connection with a head that never ends. */
        @Test
        void thatArriveByteByByteAreRefusedInTime() throws Exception {
            try (Socket socket = connect()) {
                write(socket, "GET / HTTP/1.1\r\nX: ");
                long start = System.nanoTime();
                Thread writer = new Thread(() -> trickle(socket));
                writer.start();
                String response = readToEnd(socket);
                writer.interrupt();

                assertThat(response).startsWith("HTTP/1.1 408");
                assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(5));
            }
        }

        /** Guards against a head over the operators' limit that is accepted because it is below the decoder's. */
        @Test
        void overTheLimitAreRefused() throws Exception {
            try (Socket socket = connect()) {
                write(socket, "GET / HTTP/1.1\r\nX: " + "x".repeat(2500) + "\r\n\r\n");

                assertThat(readToEnd(socket)).startsWith("HTTP/1.1 431");
            }
        }

        /** Guards against a timeout for idle connections that have begun no request. */
        @Test
        void mayBeginAfterAnIdleTime() throws Exception {
            try (Socket socket = connect()) {
                write(socket, REQUEST);
                assertThat(socket.getInputStream().readNBytes(12))
                        .asString(ISO_8859_1)
                        .isEqualTo("HTTP/1.1 200");
                TimeUnit.MILLISECONDS.sleep(3000);
                write(socket, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");

                assertThat(readToEnd(socket)).contains("HTTP/1.1 200");
            }
        }

        private static void trickle(Socket socket) {
            try {
                while (!Thread.currentThread().isInterrupted()) {
                    write(socket, "x");
                    TimeUnit.MILLISECONDS.sleep(100);
                }
            } catch (IOException | InterruptedException e) {
                // The server has closed the connection, or the test has ended.
            }
        }
    }

    @Nested
    class Bodies {
        /** Guards against a connection that is lost, or a field that is not validated, because trailers are dropped. */
        @Test
        void mayHaveTrailersWhichMustBeValid() throws Exception {
            String chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n";
            try (Socket socket = connect()) {
                write(socket, chunked + "a: 1\r\nb: 2\r\n  folded\r\nc:\r\n\r\n");
                assertThat(statusLine(socket)).isEqualTo("HTTP/1.1 200");
                assertThat(lastBody).isEqualTo(new byte[] {'a', 'b'});
            }
            try (Socket socket = connect()) {
                write(socket, chunked + "a: 1\r\nb c: 2\r\n\r\n");
                assertThat(readToEnd(socket)).startsWith("HTTP/1.1 400");
            }
        }

        private static final String INCOMPLETE =
                "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbod";

        /** Guards against callers that hold memory with a body that never ends. */
        @Test
        void thatStopBeforeTheirEndAreRefused() throws Exception {
            try (Socket socket = connectTo(Duration.ofMillis(1500), CallerPatience.unknown())) {
                write(socket, INCOMPLETE);

                assertThat(readToEnd(socket)).startsWith("HTTP/1.1 408");
            }
        }

        /** Guards against a slow caller that is refused for a pause although it still waits for the response. */
        @Test
        void thatPauseAreServedWhileTheirCallersWait() throws Exception {
            try (Socket socket = connectTo(Duration.ofMillis(200), head -> Optional.of(Duration.ofSeconds(30)))) {
                write(socket, INCOMPLETE);
                socket.setSoTimeout(2500);
                assertThatThrownBy(() -> socket.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
                socket.setSoTimeout(10_000);
                write(socket, "y");

                assertThat(readToEnd(socket)).startsWith("HTTP/1.1 200");
            }
        }

        /** Guards against a body that is awaited although its caller has left. */
        @Test
        void thatAreLateAreRefusedOnceTheirCallersNoLongerWait() throws Exception {
            try (Socket socket = connectTo(Duration.ofSeconds(30), head -> Optional.of(Duration.ofMillis(200)))) {
                write(socket, INCOMPLETE);

                assertThat(readToEnd(socket)).startsWith("HTTP/1.1 408");
            }
        }

        /** Guards against a caller that gets no response because its connection counts as idle. */
        @Test
        void thatPauseForLongerThanTheIdleTimeoutAreRefused() throws Exception {
            CallerLimits limits = new CallerLimits(2000, 4000, Duration.ofSeconds(3), Duration.ofMillis(500));
            try (Socket socket = connectTo(limits, Duration.ofSeconds(30), CallerPatience.unknown())) {
                write(socket, INCOMPLETE);

                assertThat(readToEnd(socket)).startsWith("HTTP/1.1 408");
            }
        }

        private Socket connectTo(Duration bodyTimeout, CallerPatience patience) throws IOException {
            return connectTo(LIMITS, bodyTimeout, patience);
        }

        private Socket connectTo(CallerLimits limits, Duration bodyTimeout, CallerPatience patience)
                throws IOException {
            Address limited = new Address("127.0.0.1", freePort());
            HttpServer.of(
                            loop,
                            TimeSource.system(),
                            InputClock.immediate(TimeSource.system()),
                            () -> limits,
                            CallerPressure.of(new CallerBudgets(100_000, 100_000, 10, 10, 10, bodyTimeout)),
                            patience,
                            (head, body, writer) ->
                                    writer.writeFull(200, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER))
                    .listen(limited);
            Socket socket = new Socket("127.0.0.1", limited.port());
            socket.setSoTimeout(10_000);
            return socket;
        }

        /** Guards against reading, or waiting for, a body that is refused in any case. */
        @Test
        void thatAnnounceTooMuchAreRefusedAtTheirHead() throws Exception {
            try (Socket socket = connect()) {
                write(socket, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4001\r\n\r\n");

                assertThat(readToEnd(socket)).startsWith("HTTP/1.1 413");
            }
        }

        /** Guards against bodies that are kept by a server whose requests have none, or taken for the next request. */
        @Test
        void areDroppedWhereNoneIsExpected() throws Exception {
            Address internal = new Address("127.0.0.1", freePort());
            HttpServer.withoutBodies(loop, TimeSource.system(), CallerPressure.unbounded(), (head, body, writer) -> {
                        byte[] length = Integer.toString(body.length).getBytes(ISO_8859_1);
                        writer.writeFull(200, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(length));
                    })
                    .listen(internal);
            try (Socket socket = new Socket("127.0.0.1", internal.port())) {
                socket.setSoTimeout(10_000);
                write(socket, "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n" + "b".repeat(3000));
                write(socket, REQUEST.replace("Host", "Connection: close\r\nHost"));

                assertThat(readToEnd(socket).split("HTTP/1.1 200 OK"))
                        .hasSize(3)
                        .allSatisfy(response -> assertThat(response.isEmpty() || response.endsWith("0"))
                                .isTrue());
            }
        }

        /** Guards against bytes that are lost or mixed up where the array of a body grows. */
        @Test
        void inSmallChunksArriveWhole() throws Exception {
            try (Socket socket = connect()) {
                StringBuilder chunks = new StringBuilder();
                for (int i = 0; i < 2000; i++) {
                    chunks.append("1\r\n").append((char) ('a' + i % 26)).append("\r\n");
                }
                write(socket, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n");
                write(socket, chunks + "0\r\n\r\n");

                assertThat(readToEnd(socket)).startsWith("HTTP/1.1 200");
            }
            assertThat(lastBody)
                    .hasSize(2000)
                    .startsWith((byte) 'a', (byte) 'b')
                    .endsWith((byte) ('a' + 1999 % 26));
        }
    }

    @Nested
    class AConnectionOverTheBudget {
        /** Guards against a new connection that cuts off an open request, or that is kept although it is too many. */
        @Test
        void isClosedWhileARequestIsOpenOnTheOther() throws Exception {
            Address limited = new Address("127.0.0.1", freePort());
            CompletableFuture<ResponseWriter> open = new CompletableFuture<>();
            HttpServer.of(
                            loop,
                            TimeSource.system(),
                            InputClock.immediate(TimeSource.system()),
                            () -> LIMITS,
                            CallerPressure.of(new CallerBudgets(100_000, 100_000, 1, 1, 1, Duration.ofSeconds(9))),
                            CallerPatience.unknown(),
                            (head, body, writer) -> open.complete(writer))
                    .listen(limited);
            try (Socket first = new Socket("127.0.0.1", limited.port())) {
                first.setSoTimeout(10_000);
                write(first, REQUEST.replace("Host", "Connection: close\r\nHost"));
                ResponseWriter writer = open.get(10, TimeUnit.SECONDS);
                try (Socket second = new Socket("127.0.0.1", limited.port())) {
                    second.setSoTimeout(10_000);

                    assertThat(readToEnd(second)).isEmpty();
                }
                loop.execute(() -> writer.writeFull(200, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER));

                assertThat(readToEnd(first)).startsWith("HTTP/1.1 200");
            }
        }
    }

    @Nested
    class HeadRequests {
        /** Guards against a body behind the response to HEAD, which the caller takes for the next response. */
        @Test
        void getNoLastChunk() throws Exception {
            try (Socket socket = connect()) {
                write(socket, "HEAD /chunks HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");

                assertThat(readToEnd(socket))
                        .containsIgnoringCase("transfer-encoding: chunked")
                        .endsWith("\r\n\r\n")
                        .doesNotContain("\r\n\r\n0");
            }
        }

        /** Guards against a body behind the response to HEAD, which the caller takes for the next response. */
        @Test
        void getNoBody() throws Exception {
            try (Socket socket = connect()) {
                write(socket, "HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");

                assertThat(readToEnd(socket))
                        .containsIgnoringCase("content-length: 2")
                        .endsWith("\r\n\r\n");
            }
        }
    }

    @Nested
    class Stop {
        private static final int CALLERS = 6;
        private static final int ESTABLISHED = 40;

        /** Guards against a reset of connections that the kernel has established and the server has not accepted. */
        @Test
        void answersRequestsOnConnectionsThatWaitToBeAccepted() throws Exception {
            CountDownLatch blocked = new CountDownLatch(1);
            CountDownLatch release = new CountDownLatch(1);
            loop.execute(() -> {
                blocked.countDown();
                await(release);
                server.drain();
                server.stopListening();
            });
            blocked.await();
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < ESTABLISHED; i++) {
                Socket socket = connect();
                write(socket, REQUEST);
                sockets.add(socket);
            }
            release.countDown();

            for (Socket socket : sockets) {
                assertThat(readToEnd(socket)).startsWith("HTTP/1.1 200").endsWith("ok");
                socket.close();
            }
        }

        /** Guards against requests that break off because they arrive while the server stops listening. */
        @Test
        void answersOrRefusesRequestsThatArriveMeanwhile() throws Exception {
            Queue<String> broken = new ConcurrentLinkedQueue<>();
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Thread caller = new Thread(() -> callUntilRefused(broken));
                caller.start();
                callers.add(caller);
            }
            TimeUnit.MILLISECONDS.sleep(300);
            loop.execute(server::drain);
            loop.execute(server::stopListening);
            for (Thread caller : callers) {
                caller.join(10_000);
            }

            assertThat(broken).isEmpty();
        }

        private void callUntilRefused(Queue<String> broken) {
            ByteBuffer request = ByteBuffer.wrap(
                    REQUEST.replace("Host", "Connection: close\r\nHost").getBytes(ISO_8859_1));
            while (true) {
                try (Socket socket = connect()) {
                    socket.getOutputStream().write(request.array());
                    if (!readToEnd(socket).endsWith("ok")) {
                        broken.add("no response");
                    }
                } catch (ConnectException e) {
                    return;
                } catch (IOException e) {
                    broken.add(e.toString());
                }
            }
        }

        private static void await(CountDownLatch latch) {
            try {
                latch.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
