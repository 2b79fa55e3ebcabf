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

/** Sends requests as callers do and records them. A caller names the newest configuration version that it has seen. */
final class Caller {
    private static final String PREFIX = "X-Masticcroft-";

    private final HttpClient client;
    private final ScheduledExecutorService scheduler;
    private final HistoryWriter history;
    private final Duration timeout;
    private final Map<String, Long> seenVersions = new ConcurrentHashMap<>();

    private Caller(HttpClient client, ScheduledExecutorService scheduler, HistoryWriter history, Duration timeout) {
        this.client = client;
        this.scheduler = scheduler;
        this.history = history;
        this.timeout = timeout;
    }

    static Caller of(HttpClient client, ScheduledExecutorService scheduler, HistoryWriter history, Duration timeout) {
        return new Caller(client, scheduler, history, timeout);
    }

    /** Sends a request; the result never fails. */
    CompletableFuture<Outcome> send(PlannedRequest planned, String id, String entry, String idempotencyKey, String of) {
        Invoke invoke = invoke(planned, id, entry, idempotencyKey, of);
        history.write(invoke);
        ResponseReader reader = ResponseReader.create();
        long start = System.nanoTime();
        CompletableFuture<?> exchange = client.sendAsync(request(planned, invoke), reader);
        ScheduledFuture<?> deadline =
                scheduler.schedule(() -> exchange.cancel(true), timeout.toMillis(), TimeUnit.MILLISECONDS);
        return exchange.handle((response, failure) -> {
            deadline.cancel(false);
            Outcome outcome = outcome(invoke, reader, failure, start);
            history.write(outcome);
            seenVersions.merge(invoke.key(), outcome.configVersion(), Math::max);
            return outcome;
        });
    }

    private Invoke invoke(PlannedRequest planned, String id, String entry, String idempotencyKey, String of) {
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
                of,
                planned.maxTokens(),
                seenVersions.getOrDefault(planned.caller().key(), 0L));
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
            request.header(PREFIX + "Min-Config", Long.toString(invoke.minConfig()));
        }
        return request.build();
    }

    private static Outcome outcome(Invoke invoke, ResponseReader reader, Throwable failure, long start) {
        long end = System.nanoTime();
        JsonNode error = reader.error();
        String verdict = reader.header(PREFIX + "Verdict");
        long firstToken = reader.firstTokenNanos() > 0 ? reader.firstTokenNanos() : end;
        return new Outcome(
                invoke.id(),
                System.currentTimeMillis(),
                reader.status(),
                failure == null ? "" : describe(failure),
                error.path("verdict").asText(verdict),
                error.path("code").asText(""),
                reader.header(PREFIX + "Request-Id"),
                reader.header(PREFIX + "Weights-Digest"),
                reader.header(PREFIX + "Upstream"),
                version(reader.header(PREFIX + "Config-Version")),
                reader.answer(invoke.kind() == Kind.CHAT),
                failure == null && reader.isComplete(),
                millis(firstToken - start),
                millis(end - start));
    }

    private static String describe(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof CancellationException) {
            return Outcome.TIMEOUT;
        }
        return cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException
                ? Outcome.REFUSED
                : Outcome.BROKEN;
    }

    private static long version(String header) {
        return header.matches("\\d{1,18}") ? Long.parseLong(header) : 0;
    }

    private static double millis(long nanos) {
        return nanos / 1_000 / 1_000.0;
    }
}
