package org.masticcroft.gateway.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticcroft.kernel.time.TimeSource;

class PooledHttpClientTest {
    private static final String ID_HEADER = "Id";
    private static final Duration MAX_IDLE = Duration.ofSeconds(5);
    private static final long TIMEOUT_SECONDS = 10;

    /** Size of a request body that no socket buffer holds. */
    private static final int LARGE_BODY_BYTES = 64 * 1024 * 1024;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final PooledHttpClient client = PooledHttpClient.of(loop, TimeSource.system());

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static String response(String id, String body) {
        return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private String send(MisbehavingServer server, String id) throws Exception {
        return start(server, id).await();
    }

    private Recorder start(MisbehavingServer server, String id) {
        Recorder recorder = new Recorder(id);
        send(server, recorder, Unpooled.EMPTY_BUFFER);
        return recorder;
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            assertThat(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting", e);
        }
    }

    private void send(MisbehavingServer server, Recorder recorder, ByteBuf body) {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/" + recorder.id, body);
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        loop.execute(() -> client.send(server.address(), request, MAX_IDLE, recorder));
    }

    @Nested
    class TheConnectionsOfAClient {
        private final PooledHttpClient limited = PooledHttpClient.of(loop, TimeSource.system(), 1);

        /** Guards against a client that uses up the descriptors, or that counts idle connections as used. */
        @Test
        void leaveRoomWhileOneIsIdle() throws Exception {
            CountDownLatch answer = new CountDownLatch(1);
            try (MisbehavingServer server = MisbehavingServer.start((request, out) -> {
                awaitQuietly(answer);
                out.write(MisbehavingServer.bytes(response("r", "own")));
            })) {
                assertThat(loop.submit(limited::hasRoom).get()).isTrue();
                Recorder recorder = new Recorder("r");
                DefaultFullHttpRequest request =
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/r", Unpooled.EMPTY_BUFFER);
                loop.submit(() -> limited.send(server.address(), request, MAX_IDLE, recorder))
                        .get();
                assertThat(loop.submit(limited::hasRoom).get()).isFalse();

                answer.countDown();
                assertThat(recorder.await()).isEqualTo("own");
                assertThat(loop.submit(limited::hasRoom).get()).isTrue();
            }
        }
    }

    @Nested
    class LateResponses {
        /** Guards against a caller that gets the second copy of the response to an earlier request. */
        @Test
        void isSkippedIfItComesBeforeTheNextResponse() throws Exception {
            try (MisbehavingServer server = MisbehavingServer.start((request, out) -> {
                String copy = request == 1 ? "" : response("first", "one");
                out.write(MisbehavingServer.bytes(copy + response(request == 1 ? "first" : "second", "two")));
            })) {
                send(server, "first");

                assertThat(send(server, "second")).isEqualTo("two");
                assertThat(server.connections()).isEqualTo(1);
            }
        }

        /** Guards against a kept connection to a server whose responses are out of step with the requests. */
        @Test
        void endsTheConnectionAfterTheAwaitedResponse() throws Exception {
            AtomicInteger served = new AtomicInteger();
            try (MisbehavingServer server = MisbehavingServer.start((request, out) -> {
                int number = served.incrementAndGet();
                String copy = number == 2 ? response("r1", "one") : "";
                out.write(MisbehavingServer.bytes(copy + response("r" + number, "own")));
            })) {
                send(server, "r1");
                assertThat(send(server, "r2")).isEqualTo("own");
                assertThat(server.connections()).isEqualTo(1);

                assertThat(send(server, "r3")).isEqualTo("own");
                assertThat(server.connections()).isEqualTo(2);
            }
        }

        /** Guards against a copy that cannot be told from the response, because the same request was sent again. */
        @Test
        void isNotReadByTheSameRequestSentAgain() throws Exception {
            try (MisbehavingServer server = MisbehavingServer.start((request, out) -> {
                String copy = request == 1 ? "" : response("first", "old");
                out.write(MisbehavingServer.bytes(copy + response("first", "new")));
            })) {
                send(server, "first");

                assertThat(send(server, "first")).isEqualTo("new");
                assertThat(server.connections()).isEqualTo(2);
            }
        }

        /** Guards against memory that grows with the number of requests on a connection, whose ids are remembered. */
        @Test
        void areToldApartForABoundedNumberOfRequests() throws Exception {
            AtomicInteger served = new AtomicInteger();
            try (MisbehavingServer server = MisbehavingServer.start((request, out) ->
                    out.write(MisbehavingServer.bytes(response("r" + served.incrementAndGet(), "one"))))) {
                for (int request = 1; request <= 100; request++) {
                    assertThat(send(server, "r" + request)).isEqualTo("one");
                }
                assertThat(server.connections()).isEqualTo(1);
                assertThat(send(server, "r101")).isEqualTo("one");
                assertThat(server.connections()).isEqualTo(2);
            }
        }

        /** Guards against reuse of a connection on which bytes without a request have arrived. */
        @Test
        void endsTheConnectionIfItComesWithTheResponse() throws Exception {
            try (MisbehavingServer server = MisbehavingServer.start((request, out) ->
                    out.write(MisbehavingServer.bytes(response("first", "one") + response("first", "one"))))) {
                assertThat(send(server, "first")).isEqualTo("one");
                assertThat(send(server, "first")).isEqualTo("one");
                assertThat(server.connections()).isEqualTo(2);
            }
        }

        /** Guards against reuse of such a connection by a request with another id. */
        @Test
        void endsTheConnectionAlsoForOtherRequests() throws Exception {
            AtomicInteger served = new AtomicInteger();
            try (MisbehavingServer server = MisbehavingServer.start((request, out) -> {
                String own = response("r" + served.incrementAndGet(), "one");
                out.write(MisbehavingServer.bytes(own + own));
            })) {
                assertThat(send(server, "r1")).isEqualTo("one");
                assertThat(send(server, "r2")).isEqualTo("one");
                assertThat(server.connections()).isEqualTo(2);
            }
        }

        /** Guards against reuse of a connection on which a copy has arrived while no request was open. */
        @Test
        void endsTheConnectionIfItComesBetweenTwoRequests() throws Exception {
            AtomicInteger served = new AtomicInteger();
            CountDownLatch copied = new CountDownLatch(1);
            CountDownLatch delivered = new CountDownLatch(1);
            try (MisbehavingServer server = MisbehavingServer.start((request, out) -> {
                byte[] own = MisbehavingServer.bytes(response("r" + served.incrementAndGet(), "one"));
                out.write(own);
                if (served.get() == 1) {
                    out.flush();
                    awaitQuietly(delivered);
                    out.write(own);
                    out.flush();
                    copied.countDown();
                }
            })) {
                assertThat(send(server, "r1")).isEqualTo("one");
                delivered.countDown();
                awaitQuietly(copied);
                // Time for the event loop to read the copy.
                Thread.sleep(100);
                assertThat(send(server, "r2")).isEqualTo("one");
                assertThat(server.connections()).isEqualTo(2);
            }
        }
    }

    @Nested
    class BytesBeforeTheFirstRequest {
        /** Guards against a call without an end, because its new connection was closed before it was used. */
        @Test
        void failTheCall() throws Exception {
            ResponseDecoder decoder = new ResponseDecoder(new HttpDecoderConfig());
            ClientConnection connection = new ClientConnection(client, new Address("127.0.0.1", 1), decoder);
            EmbeddedChannel channel = new EmbeddedChannel(decoder, new HttpRequestEncoder(), connection);
            channel.writeInbound(Unpooled.copiedBuffer("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", UTF_8));
            Recorder recorder = new Recorder("first");

            connection.start(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/first"), recorder);

            assertThat(recorder.result).isCompletedWithValue(CallFailure.NOT_CONNECTED.name());
        }
    }

    @Nested
    class TruncatedCopies {
        /** Guards against a head that begins as the refusal of one request and ends as the response to another. */
        @Test
        void areNotMergedWithTheNextResponse() throws Exception {
            String refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: first\r\nContent-Length: 2\r\n\r\nno";
            for (int cut = 1; cut <= refusal.length(); cut++) {
                String copy = refusal.substring(0, cut);
                try (MisbehavingServer server = MisbehavingServer.start((request, out) -> {
                    out.write(MisbehavingServer.bytes(
                            request == 1 ? response("first", "one") : copy + response("second", "two")));
                    if (request == 2) {
                        out.flush();
                        throw new IOException("closes the connection");
                    }
                })) {
                    send(server, "first");
                    Recorder second = start(server, "second");
                    second.result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);

                    assertThat(second.heads)
                            .as("after the copy %s", copy)
                            .allMatch(head -> head.status().code() == 200)
                            .noneMatch(head -> head.headers().contains("Not-Run"));
                }
            }
        }
    }

    @Nested
    class HeadsThatBreakOff {
        /** Guards against a response whose head is incomplete and that looks complete, with a body cut to nothing. */
        @ParameterizedTest(name = "{0}")
        @CsvSource(
                delimiter = '|',
                value = {
                    "with a length|Content-Length: 12\\r\\n",
                    "in chunks|Transfer-Encoding: chunked\\r\\n",
                    "without a length|''",
                    "of a refusal|Not-Run: 1\\r\\nContent-Length: 0\\r\\n"
                })
        void failTheCall(String framing, String header) throws Exception {
            String head = "HTTP/1.1 200 OK\r\nId: a\r\n" + EndlessBytes.unescape(header) + "\r\n";
            for (int cut = 1; cut < head.length(); cut++) {
                String part = head.substring(0, cut);
                try (MisbehavingServer server = MisbehavingServer.start((request, out) -> {
                    out.write(MisbehavingServer.bytes(part));
                    throw new MisbehavingServer.Close();
                })) {
                    Recorder recorder = start(server, "a");

                    assertThat(recorder.await())
                            .as("after the head %s", part)
                            .isIn(CallFailure.CLOSED_EARLY.name(), CallFailure.MALFORMED.name());
                    assertThat(recorder.heads).isEmpty();
                }
            }
        }
    }

    /** Pattern: a failing server sends a head whose status is not one of a final response. */
    @Nested
    class StatusesThatAreNotFinal {
        private static String odd(String status) {
            return "HTTP/1.1 " + status + " Odd\r\nId: first\r\nContent-Length: 3\r\n\r\nodd";
        }

        /** Guards against a listener that takes such a head for a response, or waits for another one in vain. */
        @ParameterizedTest
        @ValueSource(strings = {"000", "099", "101", "102", "199", "600", "999"})
        void areMalformed(String status) throws Exception {
            try (MisbehavingServer server =
                    MisbehavingServer.start((request, out) -> out.write(MisbehavingServer.bytes(odd(status))))) {
                assertThat(send(server, "first")).isEqualTo("MALFORMED");
            }
        }

        /** Guards against a result of a whole call, as those to the store and the sidecars, that looks like one. */
        @ParameterizedTest
        @ValueSource(strings = {"000", "600"})
        void areFailuresOfABufferedCall(String status) throws Exception {
            try (MisbehavingServer server =
                    MisbehavingServer.start((request, out) -> out.write(MisbehavingServer.bytes(odd(status))))) {
                CompletableFuture<BufferedCall.Result> result = new CompletableFuture<>();
                BufferedCall.Limits limits = new BufferedCall.Limits(MAX_IDLE, Duration.ofSeconds(TIMEOUT_SECONDS));
                loop.execute(() -> BufferedCall.send(
                        client,
                        loop,
                        server.address(),
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                        limits,
                        result::complete));
                assertThat(result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).reason())
                        .isEqualTo("MALFORMED");
            }
        }

        /** Guards against a final response that is lost because an interim one preceded it. */
        @ParameterizedTest
        @ValueSource(strings = {"100", "102", "103"})
        void mayPrecedeTheFinalOneIfTheyAreInterim(String status) throws Exception {
            try (MisbehavingServer server = MisbehavingServer.start((request, out) -> out.write(
                    MisbehavingServer.bytes("HTTP/1.1 " + status + " Interim\r\n\r\n" + response("first", "one"))))) {
                assertThat(send(server, "first")).isEqualTo("one");
            }
        }
    }

    @Nested
    class ResponsesWithoutAnId {
        private static final String UNIDENTIFIED = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";

        /** Guards against a response that is given to a request although it may belong to an earlier one. */
        @Test
        void failTheCallOnAReusedConnectionAndCloseIt() throws Exception {
            try (MisbehavingServer server = MisbehavingServer.start((request, out) ->
                    out.write(MisbehavingServer.bytes(request == 1 ? response("first", "one") : UNIDENTIFIED)))) {
                send(server, "first");

                assertThat(send(server, "second")).isEqualTo(CallFailure.UNIDENTIFIED.name());
                assertThat(send(server, "first")).isEqualTo("one");
                assertThat(server.connections()).isEqualTo(2);
            }
        }

        /** Guards against calls to a server without ids that fail because the connection was kept. */
        @Test
        void areDeliveredOnNewConnectionsOnly() throws Exception {
            try (MisbehavingServer server =
                    MisbehavingServer.start((request, out) -> out.write(MisbehavingServer.bytes(UNIDENTIFIED)))) {
                assertThat(send(server, "first")).isEqualTo("one");
                assertThat(send(server, "second")).isEqualTo("one");
                assertThat(server.connections()).isEqualTo(2);
            }
        }
    }

    @Nested
    class ResponsesWithoutALength {
        private static final String HEAD = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n";

        /** Guards against an unframed response that fails although it ended with its connection. */
        @Test
        void endWithTheConnection() throws Exception {
            try (MisbehavingServer server = MisbehavingServer.start((request, out) -> {
                out.write(MisbehavingServer.bytes(HEAD + "one"));
                throw new MisbehavingServer.Close();
            })) {
                assertThat(send(server, "a")).isEqualTo("one");
            }
        }

        /** Guards against a response that was cut off by a reset and looks complete. */
        @Test
        void failWhenTheConnectionIsReset() throws Exception {
            Recorder recorder = new Recorder("a");
            try (MisbehavingServer server = MisbehavingServer.start((request, out) -> {
                out.write(MisbehavingServer.bytes(HEAD + "one"));
                recorder.awaitContent();
                throw new MisbehavingServer.Reset();
            })) {
                send(server, recorder, Unpooled.EMPTY_BUFFER);

                assertThat(recorder.await()).isEqualTo(CallFailure.RESET.name());
            }
        }

        /** Guards against a reset that is noticed while the request is written and makes the response look complete. */
        @Test
        void failWhenTheConnectionIsResetBeforeTheRequestIsWritten() throws Exception {
            Recorder recorder = new Recorder("a");
            try (MisbehavingServer server = MisbehavingServer.start((request, out) -> {
                out.write(MisbehavingServer.bytes(HEAD + "one"));
                recorder.awaitContent();
                throw new MisbehavingServer.Reset();
            })) {
                send(server, recorder, Unpooled.wrappedBuffer(new byte[LARGE_BODY_BYTES]));

                assertThat(recorder.await()).isEqualTo(CallFailure.RESET.name());
            }
        }
    }

    @Nested
    class EndlessBytes {
        /** Guards against a call that never ends, and against memory that grows with what a server sends. */
        @ParameterizedTest(name = "{0}")
        @CsvSource(
                delimiter = '|',
                value = {
                    "header line|HTTP/1.1 200 OK\\r\\nX: |xxxx",
                    "header lines|HTTP/1.1 200 OK\\r\\n|X: y\\r\\n",
                    "no response|''|garbage",
                    "interim responses|''|HTTP/1.1 102 Processing\\r\\n\\r\\n",
                    "responses to others|''|HTTP/1.1 200 OK\\r\\nId: other\\r\\nContent-Length: 0\\r\\n\\r\\n",
                    "body of another|HTTP/1.1 200 OK\\r\\nId: other\\r\\n\\r\\n|xxxx",
                    "chunk extension|HTTP/1.1 200 OK\\r\\nId: a\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1;|xxxx",
                    "trailers|HTTP/1.1 200 OK\\r\\nId: a\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n|X: y\\r\\n"
                })
        void failTheCallAndCloseTheConnection(String where, String prefix, String repeated) throws Exception {
            try (MisbehavingServer server = MisbehavingServer.start(
                    (request, out) -> MisbehavingServer.writeEndlessly(out, unescape(prefix), unescape(repeated)))) {
                assertThat(send(server, "a")).isEqualTo(CallFailure.MALFORMED.name());
                assertThat(server.closedByClient()).isTrue();
            }
        }

        /** Guards against bytes after a complete response that keep the connection open. */
        @Test
        void afterTheResponseCloseTheConnection() throws Exception {
            try (MisbehavingServer server = MisbehavingServer.start(
                    (request, out) -> MisbehavingServer.writeEndlessly(out, response("a", "one"), "x"))) {
                assertThat(send(server, "a")).isEqualTo("one");
                assertThat(server.closedByClient()).isTrue();
            }
        }

        /** Guards against memory that grows with the body of a buffered call. */
        @Test
        void inABufferedBodyFailTheCall() throws Exception {
            try (MisbehavingServer server = MisbehavingServer.start(
                    (request, out) -> MisbehavingServer.writeEndlessly(out, "HTTP/1.1 200 OK\r\n\r\n", "x"))) {
                CompletableFuture<BufferedCall.Result> result = new CompletableFuture<>();
                BufferedCall.Limits limits =
                        new BufferedCall.Limits(Duration.ZERO, Duration.ofSeconds(TIMEOUT_SECONDS));
                loop.execute(() -> BufferedCall.send(
                        client,
                        loop,
                        server.address(),
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                        limits,
                        result::complete));

                assertThat(result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).reason())
                        .isEqualTo(CallFailure.MALFORMED.name());
                assertThat(server.closedByClient()).isTrue();
            }
        }

        private static String unescape(String text) {
            return text.replace("\\r", "\r").replace("\\n", "\n");
        }
    }

    @Nested
    class ASlowResponse {
        private static final int PARTS = 6;

        private String receive(Duration longest, Duration betweenParts) throws Exception {
            return receive(Duration.ofMillis(500), longest, betweenParts);
        }

        private String receive(Duration timeout, Duration longest, Duration betweenParts) throws Exception {
            BufferedCall.Result received = result(timeout, longest, betweenParts);
            return received.ok() ? received.body().toString(StandardCharsets.US_ASCII) : received.reason();
        }

        private BufferedCall.Result result(Duration timeout, Duration longest, Duration betweenParts) throws Exception {
            try (MisbehavingServer server = MisbehavingServer.start((request, out) -> {
                out.write(MisbehavingServer.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + PARTS + "\r\n\r\n"));
                for (int i = 0; i < PARTS; i++) {
                    out.write('x');
                    out.flush();
                    LockSupport.parkNanos(betweenParts.toNanos());
                }
            })) {
                CompletableFuture<BufferedCall.Result> result = new CompletableFuture<>();
                loop.execute(() -> BufferedCall.send(
                        client,
                        loop,
                        server.address(),
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                        new BufferedCall.Limits(Duration.ZERO, timeout, Duration.ofMillis(500), longest),
                        result::complete));
                return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            }
        }

        /** Guards against news that count as new although they were on their way for seconds. */
        @Test
        void statesForHowLongItWasReceived() throws Exception {
            assertThat(result(Duration.ofMillis(500), Duration.ofSeconds(10), Duration.ofMillis(200))
                            .transferTime())
                    .isBetween(Duration.ofMillis(800), Duration.ofSeconds(2));
        }

        /** Guards against a large response that is given up, and transferred again, while its parts keep coming. */
        @Test
        void isReceivedWhileItsPartsKeepComing() throws Exception {
            assertThat(receive(Duration.ofSeconds(10), Duration.ofMillis(200))).isEqualTo("x".repeat(PARTS));
        }

        /** Guards against a call that waits for a response whose parts no longer come. */
        @Test
        void failsAfterATimeWithoutParts() throws Exception {
            assertThat(receive(Duration.ofSeconds(10), Duration.ofSeconds(2))).isEqualTo("TIMED_OUT");
        }

        /** Guards against a long poll whose silent response is awaited for as long as the poll itself once more. */
        @Test
        void failsSoonAfterItsLastPartIfTheFirstOneWasAwaitedForLong() throws Exception {
            long startNanos = System.nanoTime();
            assertThat(receive(Duration.ofSeconds(2), Duration.ofSeconds(10), Duration.ofMillis(1900)))
                    .isEqualTo("TIMED_OUT");
            assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(Duration.ofSeconds(3));
        }

        /** Guards against a response that goes on for ever. */
        @Test
        void failsAfterTheLongestTime() throws Exception {
            assertThat(receive(Duration.ofMillis(700), Duration.ofMillis(200))).isEqualTo("TIMED_OUT");
        }
    }

    @Nested
    class ACancelledCall {
        /** Guards against a server that takes the close for the end of the request and still runs it. */
        @Test
        void resetsItsConnection() throws Exception {
            try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
                CompletableFuture<Call> call = new CompletableFuture<>();
                loop.execute(() -> call.complete(client.send(
                        new Address("127.0.0.1", server.getLocalPort()),
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                        MAX_IDLE,
                        new Recorder("a"))));
                try (Socket connection = server.accept()) {
                    InputStream in = connection.getInputStream();
                    awaitBytes(in);
                    loop.submit(() -> call.join().cancel()).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);

                    assertThatThrownBy(in::readAllBytes).isInstanceOf(SocketException.class);
                }
            }
        }

        private void awaitBytes(InputStream in) throws Exception {
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            while (in.available() == 0 && System.nanoTime() - deadlineNanos < 0) {
                Thread.sleep(5);
            }
            assertThat(in.available()).isPositive();
        }
    }

    /** Records the heads and the body of the response, or the name of the failure. */
    private static final class Recorder implements ResponseListener {
        private final CompletableFuture<String> result = new CompletableFuture<>();
        private final List<HttpResponse> heads = new CopyOnWriteArrayList<>();
        private final StringBuilder body = new StringBuilder();
        private final CountDownLatch content = new CountDownLatch(1);
        private final String id;

        private Recorder(String id) {
            this.id = id;
        }

        private String await() throws Exception {
            return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }

        /** Waits until part of the body was received; a reset discards what was sent but not read. */
        private void awaitContent() {
            try {
                content.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public String requestId() {
            return id;
        }

        @Override
        public ResponseMatch match(HttpResponse head) {
            String responseId = head.headers().get(ID_HEADER);
            if (responseId == null) {
                return ResponseMatch.UNIDENTIFIED;
            }
            return responseId.equals(id) ? ResponseMatch.OWN : ResponseMatch.OTHER;
        }

        @Override
        public void onHead(HttpResponse head) {
            heads.add(head);
        }

        @Override
        public void onContent(ByteBuf part) {
            body.append(part.toString(UTF_8));
            content.countDown();
        }

        @Override
        public void onEnd() {
            result.complete(body.toString());
        }

        @Override
        public void onFailure(CallFailure failure) {
            result.complete(failure.name());
        }
    }
}
