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
import org.masticcroft.harness.answer.Marker;
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

    /** What the entry in this test does with requests. */
    private enum Behaviour {
        CORRECT,
        CUT_STREAMS,
        ERROR_EVENTS,
        SILENT
    }

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Set<String> seenKeys = ConcurrentHashMap.newKeySet();
    private volatile Behaviour behaviour = Behaviour.CORRECT;
    private HttpServer entry;

    @TempDir
    private Path directory;

    @BeforeEach
    void start() throws IOException {
        entry = HttpServer.create(new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), 0), 100);
        entry.setExecutor(threads);
        entry.createContext("/v1/chat/completions", this::chat);
        entry.createContext("/services/board/", this::service);
        entry.start();
    }

    @AfterEach
    void stop() {
        entry.stop(0);
        threads.shutdownNow();
    }

    @Nested
    class CorrectEntry {
        /** Guards against a driver whose records of correct responses look like violations. */
        @Test
        void givesAHistoryWithoutViolations() throws Exception {
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

        /** Guards against callers that do not say which configuration they have seen. */
        @Test
        void namesTheNewestVersionThatTheCallerHasSeen() throws Exception {
            assertThat(run(Duration.ofSeconds(10)).requests())
                    .anyMatch(request -> request.invoke().minConfig() == 5);
        }
    }

    @Nested
    class FaultyEntry {
        /** Guards against broken streams that are recorded as whole. */
        @Test
        void recordsWhatCameOfABrokenStream() throws Exception {
            behaviour = Behaviour.CUT_STREAMS;
            assertThat(streams(run(Duration.ofSeconds(10)))).isNotEmpty().allSatisfy(outcome -> {
                assertThat(outcome.error()).isEqualTo(Outcome.BROKEN);
                assertThat(outcome.complete()).isFalse();
                assertThat(outcome.answer()).startsWith("t0/");
            });
        }

        /** Guards against errors in a stream whose verdict is lost. */
        @Test
        void recordsTheVerdictOfAnErrorEvent() throws Exception {
            behaviour = Behaviour.ERROR_EVENTS;
            assertThat(streams(run(Duration.ofSeconds(10)))).isNotEmpty().allSatisfy(outcome -> {
                assertThat(outcome.verdict()).isEqualTo("MAY_HAVE_RUN");
                assertThat(outcome.isSuccess()).isFalse();
            });
        }

        /** Guards against a driver that waits for ever, and orders of unknown outcome that are not sent again. */
        @Test
        void givesUpAfterTheTimeoutAndSendsTheOrderAgain() throws Exception {
            behaviour = Behaviour.SILENT;
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
        if (behaviour == Behaviour.SILENT) {
            return;
        }
        int total = body.path("max_tokens").asInt();
        String prompt = Sha256.hex(body.at("/messages/0/content").asText());
        exchange.getResponseHeaders().set("X-Masticcroft-Weights-Digest", WEIGHTS);
        exchange.getResponseHeaders().set("X-Masticcroft-Config-Version", "5");
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < total; i++) {
            String token = Marker.of(i, total, prompt, WEIGHTS) + " ";
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
        String end = behaviour == Behaviour.ERROR_EVENTS
                ? "event: error\ndata: {\"error\":{\"code\":\"C\",\"verdict\":\"MAY_HAVE_RUN\"}}\n\n"
                : behaviour == Behaviour.CUT_STREAMS ? "" : "data: [DONE]\n\n";
        exchange.getResponseBody().write((events + end).getBytes(StandardCharsets.UTF_8));
        exchange.getResponseBody().flush();
        if (behaviour == Behaviour.CUT_STREAMS) {
            // Without the last chunk, the client sees a connection that broke.
            throw new IOException("cut off on purpose");
        }
        exchange.close();
    }

    private void service(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (behaviour == Behaviour.SILENT) {
            return;
        }
        String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
        if (key != null && !seenKeys.add(key)) {
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
