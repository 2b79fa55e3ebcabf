package org.masticcroft.ports.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.ports.service.HttpServiceClient;
import org.masticcroft.ports.service.UpstreamRequest;

class UpstreamClientTest {
    private static final WeightsDigest DIGEST = WeightsDigest.of("sha256:" + "a".repeat(64));

    private final AtomicInteger connections = new AtomicInteger();
    private ServerSocket server;
    private volatile String response = "";
    private volatile String received = "";

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::serve, "test-server");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
    }

    /** Reads each request, sends the raw response, and closes the connection. */
    private void serve() {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                connections.incrementAndGet();
                received = readRequest(socket.getInputStream());
                socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
            } catch (IOException e) {
                // The server was closed by the test.
            }
        }
    }

    private static String readRequest(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (!text.toString().endsWith("\r\n\r\n")) {
            text.append((char) in.read());
        }
        int headerStart = text.indexOf("Content-Length: ");
        if (headerStart >= 0) {
            int length = Integer.parseInt(text.substring(headerStart + 16, text.indexOf("\r", headerStart)));
            text.append(new String(in.readNBytes(length), StandardCharsets.UTF_8));
        }
        return text.toString();
    }

    private URI url() {
        return URI.create("http://127.0.0.1:" + server.getLocalPort());
    }

    private EngineClient engine() {
        return HttpEngineClient.of(HttpClient.newHttpClient(), url());
    }

    private static EngineRequest request(String body) {
        return new EngineRequest("r-1", "/v1/chat/completions", body.getBytes(), true, DIGEST, 2, 5);
    }

    private void respond(String status, String body) {
        response = "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static void assertFails(ThrowingCallable call, Verdict verdict, ErrorCode code) {
        assertThatThrownBy(call).isInstanceOfSatisfying(MasticcroftException.class, e -> {
            assertThat(e.verdict()).isEqualTo(verdict);
            assertThat(e.code()).isEqualTo(code);
        });
    }

    @Nested
    class Verdicts {
        /**
         * Guards against verdict {@code MAY_HAVE_RUN} for a request that reached no upstream. No thread calls accept on
         * the closed port: the system would keep the port open until that thread had woken up.
         */
        @Test
        void refusedConnectionIsNotRun() throws IOException {
            int closedPort;
            try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                closedPort = unused.getLocalPort();
            }
            EngineClient engine =
                    HttpEngineClient.of(HttpClient.newHttpClient(), URI.create("http://127.0.0.1:" + closedPort));
            assertFails(() -> engine.open(request("{}")).await(), Verdict.NOT_RUN, ErrorCode.UPSTREAM_FAILED);
        }

        /** Guards against a second execution: a request that was sent must not be retried or reported as not run. */
        @Test
        void connectionClosedAfterSendingMayHaveRun() {
            assertFails(() -> engine().open(request("{}")).await(), Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_FAILED);
            assertThat(connections).hasValue(1);
        }

        @Test
        void explicitRefusalsAreNotRun() {
            respond("409 Conflict", "{\"error\":{\"code\":\"weights_not_loaded\"}}");
            assertFails(() -> engine().open(request("{}")).await(), Verdict.NOT_RUN, ErrorCode.WEIGHTS_NOT_LOADED);
            respond("503 Busy", "{\"error\":{\"code\":\"overloaded\"}}");
            assertFails(() -> engine().open(request("{}")).await(), Verdict.NOT_RUN, ErrorCode.BUSY);
        }

        /** Guards against treating a 503 without a known error code as a refusal before execution. */
        @Test
        void otherServerErrorsMayHaveRun() {
            respond("503 Busy", "");
            assertFails(() -> engine().open(request("{}")).await(), Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_FAILED);
        }

        /** Guards against a response whose head broke off and that is accepted as one with an empty body. */
        @Test
        void truncatedHeadFails() {
            String head = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n";
            for (int cut = 1; cut < head.length(); cut++) {
                response = head.substring(0, cut);
                assertFails(
                        () -> engine().open(request("{}")).await(), Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_FAILED);
            }
        }

        /** Guards against a truncated body that is accepted as complete. */
        @Test
        void truncatedBodyFails() {
            response = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc";
            InputStream body = engine().open(request("{}")).await().body();
            assertThatThrownBy(body::readAllBytes).isInstanceOf(IOException.class);
        }

        /** Guards against the second execution of an order, since the JDK's HTTP client retries GET requests itself. */
        @Test
        void nonIdempotentGetIsNotSent() {
            HttpServiceClient service = HttpServiceClient.of(HttpClient.newHttpClient(), url());
            UpstreamRequest order = new UpstreamRequest("r-1", "GET", "/energise", "", new byte[0], false);
            assertFails(() -> service.open(order), Verdict.NOT_RUN, ErrorCode.UPSTREAM_REJECTED);
            assertThat(connections).hasValue(0);
        }
    }

    @Nested
    class Requests {
        /** Guards against requests without the fields that the engine requires, such as weights and priority. */
        @Test
        void carryTheFieldsThatTheEngineRequires() {
            respond("200 OK", "");
            engine().open(request("{\"max_tokens\":7}")).await();
            assertThat(received)
                    .contains("\"max_tokens\":7", "\"weights\":\"" + DIGEST + "\"", "\"priority\":2")
                    .contains("\"request_id\":\"r-1\"", "\"resume_from\":5", "\"stream\":true");
        }

        @Test
        void malformedBodyIsNotSent() {
            assertFails(() -> engine().open(request("[1")), Verdict.NOT_RUN, ErrorCode.MALFORMED_REQUEST);
        }

        /** Guards against a lease holder that does not learn that a newer holder has replaced it. */
        @Test
        void commandReportsRejectedFence() {
            respond("409 Conflict", "{\"error\":{\"code\":\"fence_rejected\"}}");
            assertThat(engine().unload(DIGEST, 3)).isEqualTo(CommandResult.FENCE_REJECTED);
            assertThat(received).contains("\"fence\":3");
        }

        @Test
        void stateIsRead() {
            respond(
                    "200 OK",
                    "{\"incarnation\":\"i\",\"slots\":4,\"staged\":[{\"digest\":\"" + DIGEST
                            + "\",\"chunks\":[0,2]}],\"loaded\":[],\"unknown\":1}");
            EngineState state = engine().state();
            assertThat(state.slots()).isEqualTo(4);
            assertThat(state.staged(DIGEST).orElseThrow().chunks()).containsExactly(0, 2);
        }
    }
}
