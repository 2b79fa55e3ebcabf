package org.masticcroft.harness.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.masticcroft.harness.answer.AnswerToken;
import org.masticcroft.harness.answer.Sha256;
import org.masticcroft.harness.check.Evidence;
import org.masticcroft.harness.check.Report;
import org.masticcroft.harness.history.History;
import org.masticcroft.harness.history.HistoryWriter;
import org.masticcroft.harness.history.Kind;
import org.masticcroft.harness.history.Outcome;
import org.masticcroft.harness.history.Request;
import org.masticcroft.harness.json.Json;

class LoadDriverTest {
    private static final String WEIGHTS = "sha256:" + "ab".repeat(32);

    /** How the simulated entry responds to requests. */
    private enum EntryBehaviour {
        CORRECT,
        BROKEN_STREAMS,
        ERROR_EVENTS,
        NO_RESPONSE
    }

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Set<String> executedKeys = ConcurrentHashMap.newKeySet();
    private volatile EntryBehaviour behaviour = EntryBehaviour.CORRECT;
    private HttpServer entry;

    @TempDir
    private Path directory;

    @BeforeEach
    void startEntry() throws IOException {
        entry = HttpServer.create(new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), 0), 100);
        entry.setExecutor(threads);
        entry.createContext("/v1/chat/completions", this::chat);
        entry.createContext("/services/board/", this::service);
        entry.start();
    }

    @AfterEach
    void stopEntry() {
        entry.stop(0);
        threads.shutdownNow();
    }

    @Nested
    class CorrectEntry {
        /** Guards against a driver whose records of correct responses look like violations. */
        @Test
        void recordsAHistoryWithoutViolations() throws Exception {
            History history = run(Duration.ofSeconds(10));
            assertThat(Report.of(Evidence.of(history, List.of())).lines()).contains("violations: 0");
            for (Kind kind : Kind.values()) {
                assertThat(outcomes(history, kind)).isNotEmpty().anyMatch(Outcome::isSuccess);
            }
            assertThat(history.requests()).allMatch(request -> request.outcome().isPresent());
        }

        /** Guards against copies of orders that carry another key or content than the first one. */
        @Test
        void sendsCopiesOfOrdersWithTheSameKeyAndBody() throws Exception {
            History history = run(Duration.ofSeconds(10));
            List<Request> copies = history.requests().stream()
                    .filter(request -> !request.invoke().resendOf().isEmpty())
                    .toList();
            assertThat(copies).isNotEmpty().allSatisfy(copy -> {
                Request first = history.requests().stream()
                        .filter(request -> request.id().equals(copy.invoke().resendOf()))
                        .findFirst()
                        .orElseThrow();
                assertThat(copy.invoke().idempotencyKey())
                        .isEqualTo(first.invoke().idempotencyKey());
                assertThat(copy.invoke().bodySha256()).isEqualTo(first.invoke().bodySha256());
                assertThat(List.of(
                                copy.outcome().orElseThrow().status(),
                                first.outcome().orElseThrow().status()))
                        .as("one copy runs, whichever comes first")
                        .containsExactlyInAnyOrder(200, 409);
            });
        }

        /** Guards against callers that do not send the newest configuration version that they have received. */
        @Test
        void namesTheNewestVersionThatTheCallerHasSeen() throws Exception {
            assertThat(run(Duration.ofSeconds(10)).requests())
                    .anyMatch(request -> request.invoke().minConfig() == 5);
        }
    }

    @Nested
    class FaultyEntry {
        /** Guards against broken streams that are recorded as complete. */
        @Test
        void recordsThePartReceivedBeforeAStreamBreaks() throws Exception {
            behaviour = EntryBehaviour.BROKEN_STREAMS;
            assertThat(streams(run(Duration.ofSeconds(10)))).isNotEmpty().allSatisfy(outcome -> {
                assertThat(outcome.error()).isEqualTo(Outcome.BROKEN);
                assertThat(outcome.complete()).isFalse();
                assertThat(outcome.answer()).startsWith("t0/");
            });
        }

        /** Guards against losing the verdict of an error that is reported within a stream. */
        @Test
        void recordsTheVerdictOfAnErrorEvent() throws Exception {
            behaviour = EntryBehaviour.ERROR_EVENTS;
            assertThat(streams(run(Duration.ofSeconds(10)))).isNotEmpty().allSatisfy(outcome -> {
                assertThat(outcome.verdict()).isEqualTo("MAY_HAVE_RUN");
                assertThat(outcome.isSuccess()).isFalse();
            });
        }

        /** Guards against a driver that waits indefinitely, and orders of unknown outcome that are not sent again. */
        @Test
        void cancelsAfterTheTimeoutAndSendsTheOrderAgain() throws Exception {
            behaviour = EntryBehaviour.NO_RESPONSE;
            History history = run(Duration.ofMillis(300));
            assertThat(history.requests())
                    .allMatch(request -> request.outcome().orElseThrow().error().equals(Outcome.TIMEOUT));
            assertThat(history.requests()).anyMatch(request -> request.id().endsWith("/2"));
        }
    }

    private History run(Duration timeout) throws InterruptedException {
        String address = "127.0.0.1:" + entry.getAddress().getPort();
        LoadSettings settings = new LoadSettings(
                List.of(address),
                "d",
                List.of("board"),
                "/status",
                "/orders",
                List.of(CallerKey.parse("k1:live"), CallerKey.parse("k2:draft")),
                200,
                Duration.ofMillis(400),
                1,
                0.5,
                0.5,
                0.5,
                0.5,
                true,
                2,
                16,
                2,
                4,
                timeout);
        Path file = directory.resolve("history.jsonl");
        try (HistoryWriter writer = HistoryWriter.open(file)) {
            LoadDriver.of(settings, "run", writer).run();
        }
        return History.read(file);
    }

    private static List<Outcome> outcomes(History history, Kind kind) {
        return history.requests().stream()
                .filter(request -> request.invoke().kind() == kind)
                .map(request -> request.outcome().orElseThrow())
                .toList();
    }

    private static List<Outcome> streams(History history) {
        return history.requests().stream()
                .filter(request -> request.invoke().stream())
                .map(request -> request.outcome().orElseThrow())
                .toList();
    }

    private void chat(HttpExchange exchange) throws IOException {
        JsonNode body = read(exchange);
        if (behaviour == EntryBehaviour.NO_RESPONSE) {
            return;
        }
        int total = body.path("max_tokens").asInt();
        String promptSha256 = Sha256.hex(body.at("/messages/0/content").asText());
        exchange.getResponseHeaders().set("X-Masticcroft-Weights-Digest", WEIGHTS);
        exchange.getResponseHeaders().set("X-Masticcroft-Config-Version", "5");
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < total; i++) {
            String token = AnswerToken.of(i, total, promptSha256, WEIGHTS) + " ";
            text.append(body.path("stream").asBoolean() ? delta(token) : token);
        }
        if (body.path("stream").asBoolean()) {
            stream(exchange, text.toString());
        } else {
            var answer = Json.object();
            answer.putArray("choices").addObject().putObject("message").put("content", text.toString());
            respond(exchange, 200, Json.line(answer));
        }
    }

    private void stream(HttpExchange exchange, String events) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        String end = behaviour == EntryBehaviour.ERROR_EVENTS
                ? "event: error\ndata: {\"error\":{\"code\":\"C\",\"verdict\":\"MAY_HAVE_RUN\"}}\n\n"
                : behaviour == EntryBehaviour.BROKEN_STREAMS ? "" : "data: [DONE]\n\n";
        exchange.getResponseBody().write((events + end).getBytes(StandardCharsets.UTF_8));
        exchange.getResponseBody().flush();
        if (behaviour == EntryBehaviour.BROKEN_STREAMS) {
            // Without the terminating chunk, the client sees a broken connection.
            throw new IOException("stream broken by the test");
        }
        exchange.close();
    }

    private void service(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (behaviour == EntryBehaviour.NO_RESPONSE) {
            return;
        }
        String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
        if (key != null && !executedKeys.add(key)) {
            respond(exchange, 409, "{\"error\":{\"code\":\"ALREADY_RUN\",\"verdict\":\"RAN\"}}");
            return;
        }
        String digest = Sha256.hex(new String(body, StandardCharsets.UTF_8));
        String path = exchange.getRequestURI().toString();
        respond(
                exchange,
                200,
                Json.line(Json.object().put("body_sha256", digest).put("path", path)));
    }

    private static JsonNode read(HttpExchange exchange) throws IOException {
        return Json.parse(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
    }

    private static String delta(String token) {
        return String.format(Locale.ROOT, "data: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\n", token);
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] data = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, data.length);
        exchange.getResponseBody().write(data);
        exchange.close();
    }
}
