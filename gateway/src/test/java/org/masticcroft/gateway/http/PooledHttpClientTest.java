package org.masticcroft.gateway.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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
        Recorder recorder = new Recorder(id);
        send(server, recorder, Unpooled.EMPTY_BUFFER);
        return recorder.await();
    }

    private void send(MisbehavingServer server, Recorder recorder, ByteBuf body) {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/" + recorder.id, body);
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        loop.execute(() -> client.send(server.address(), request, MAX_IDLE, recorder));
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

    /** Records the body of the response, or the name of the failure. */
    private static final class Recorder implements ResponseListener {
        private final CompletableFuture<String> result = new CompletableFuture<>();
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
        public boolean accepts(HttpResponse head) {
            return id.equals(head.headers().get(ID_HEADER));
        }

        @Override
        public void onHead(HttpResponse head) {}

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
