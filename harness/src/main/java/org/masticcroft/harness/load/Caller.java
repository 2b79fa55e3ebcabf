package org.masticcroft.harness.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.masticcroft.harness.answer.Sha256;
import org.masticcroft.harness.history.HistoryWriter;
import org.masticcroft.harness.history.Invoke;
import org.masticcroft.harness.history.Kind;
import org.masticcroft.harness.history.Outcome;

/**
 * Sends requests in the name of callers and records them. Each request names the newest configuration version that a
 * response to the same API key has carried.
 */
final class Caller {
    private static final String HEADER_PREFIX = "X-Masticcroft-";

    private final HttpClient client;
    private final ScheduledExecutorService scheduler;
    private final HistoryWriter history;
    private final Duration timeout;
    private final Map<String, Long> newestVersionByKey = new ConcurrentHashMap<>();

    private Caller(HttpClient client, ScheduledExecutorService scheduler, HistoryWriter history, Duration timeout) {
        this.client = client;
        this.scheduler = scheduler;
        this.history = history;
        this.timeout = timeout;
    }

    static Caller of(HttpClient client, ScheduledExecutorService scheduler, HistoryWriter history, Duration timeout) {
        return new Caller(client, scheduler, history, timeout);
    }

    /** Sends a request and records it; the future always completes with an outcome, also when the exchange fails. */
    CompletableFuture<Outcome> send(
            PlannedRequest planned, String id, String entry, String idempotencyKey, String resendOf) {
        Invoke invoke = invoke(planned, id, entry, idempotencyKey, resendOf);
        history.write(invoke);
        ResponseReader reader = ResponseReader.create();
        long startNanos = System.nanoTime();
        CompletableFuture<?> exchange = client.sendAsync(request(planned, invoke), reader);
        ScheduledFuture<?> deadline =
                scheduler.schedule(() -> exchange.cancel(true), timeout.toMillis(), TimeUnit.MILLISECONDS);
        return exchange.handle((response, failure) -> {
            deadline.cancel(false);
            Outcome outcome = outcome(invoke, reader, failure, startNanos);
            history.write(outcome);
            newestVersionByKey.merge(invoke.key(), outcome.configVersion(), Math::max);
            return outcome;
        });
    }

    private Invoke invoke(PlannedRequest planned, String id, String entry, String idempotencyKey, String resendOf) {
        return new Invoke(
                id,
                System.currentTimeMillis(),
                entry,
                planned.caller().key(),
                planned.caller().rank(),
                planned.kind(),
                planned.stream(),
                planned.method(),
                planned.path(),
                planned.token(),
                planned.prompt(),
                planned.kind() == Kind.CHAT ? Sha256.hex(planned.prompt()) : "",
                Sha256.hex(planned.body()),
                idempotencyKey,
                resendOf,
                planned.maxTokens(),
                newestVersionByKey.getOrDefault(planned.caller().key(), 0L));
    }

    private static HttpRequest request(PlannedRequest planned, Invoke invoke) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + invoke.entry() + invoke.path()))
                .header("Authorization", "Bearer " + invoke.key())
                .method(
                        invoke.method(),
                        planned.body().isEmpty()
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(planned.body()));
        if (!planned.body().isEmpty()) {
            request.header("Content-Type", "application/json");
        }
        if (!invoke.idempotencyKey().isEmpty()) {
            request.header("Idempotency-Key", invoke.idempotencyKey());
        }
        if (invoke.minConfig() > 0) {
            request.header(HEADER_PREFIX + "Min-Config", Long.toString(invoke.minConfig()));
        }
        return request.build();
    }

    private static Outcome outcome(Invoke invoke, ResponseReader reader, Throwable failure, long startNanos) {
        long endNanos = System.nanoTime();
        JsonNode error = reader.error();
        String verdict = reader.header(HEADER_PREFIX + "Verdict");
        long firstTokenNanos = reader.firstTokenNanos() > 0 ? reader.firstTokenNanos() : endNanos;
        return new Outcome(
                invoke.id(),
                System.currentTimeMillis(),
                reader.status(),
                failure == null ? "" : errorType(failure),
                error.path("verdict").asText(verdict),
                error.path("code").asText(""),
                reader.header(HEADER_PREFIX + "Request-Id"),
                reader.header(HEADER_PREFIX + "Weights-Digest"),
                reader.header(HEADER_PREFIX + "Upstream"),
                parseVersion(reader.header(HEADER_PREFIX + "Config-Version")),
                reader.answer(invoke.kind() == Kind.CHAT),
                failure == null && reader.isComplete(),
                millis(firstTokenNanos - startNanos),
                millis(endNanos - startNanos));
    }

    private static String errorType(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof CancellationException) {
            return Outcome.TIMEOUT;
        }
        return cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException
                ? Outcome.REFUSED
                : Outcome.BROKEN;
    }

    private static long parseVersion(String header) {
        return header.matches("\\d{1,18}") ? Long.parseLong(header) : 0;
    }

    private static double millis(long nanos) {
        return nanos / 1_000 / 1_000.0;
    }
}
