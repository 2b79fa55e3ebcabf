package org.masticcroft.standins.ledger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.masticcroft.standins.http.Json;

/** Writes the entries of one upstream to the collector, if there is one, and end entries also to its own ledger. */
public final class LedgerWriter {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_ATTEMPTS = 3;

    private final Ledger ledger;
    private final Optional<URI> collector;
    private final AtomicLong failures = new AtomicLong();
    private final HttpClient client;

    private LedgerWriter(Ledger ledger, Optional<URI> collector) {
        this.ledger = ledger;
        this.collector = collector;
        this.client = collector.isEmpty()
                ? null
                : HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(TIMEOUT)
                        .build();
    }

    /** Creates a writer; {@code collector} is the base URL of the ledger stand-in. */
    public static LedgerWriter of(Ledger ledger, Optional<String> collector) {
        return new LedgerWriter(ledger, collector.map(url -> URI.create(url + "/entries")));
    }

    /** Sends an entry to the collector only. A start entry is sent before the execution that it describes begins. */
    public void sendToCollector(ObjectNode entry) throws InterruptedException {
        if (collector.isEmpty()) {
            return;
        }
        HttpRequest request = HttpRequest.newBuilder(collector.get())
                .timeout(TIMEOUT)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(entry)))
                .build();
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            if (post(request)) {
                return;
            }
        }
        failures.incrementAndGet();
    }

    /** Writes an end entry to the collector and to the upstream's own ledger. */
    public void writeEnd(ObjectNode entry) throws InterruptedException {
        sendToCollector(entry);
        ledger.add(entry);
    }

    /** Returns the number of entries that the collector did not accept. */
    public long failures() {
        return failures.get();
    }

    private boolean post(HttpRequest request) throws InterruptedException {
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
