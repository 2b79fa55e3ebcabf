package org.masticcroft.standins.service;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.masticcroft.standins.digest.Sha256;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.Call;
import org.masticcroft.standins.http.Json;
import org.masticcroft.standins.http.StandInServer;
import org.masticcroft.standins.ledger.ExecutionIds;
import org.masticcroft.standins.ledger.Ledger;
import org.masticcroft.standins.ledger.LedgerWriter;

/** HTTP stand-in of a plain service. It accepts any call, records it in its ledger as executed, and echoes it. */
public final class ServiceStandIn {
    /**
     * Fault switches with their values when off:
     *
     * <ul>
     *   <li>{@code fail}: calls are executed and then answered with 500
     *   <li>{@code hang}: calls hang before they are executed
     *   <li>{@code close_after}: the connection is closed after the execution
     *   <li>{@code close_after_next}: number of next calls whose connection is closed after the execution
     *   <li>{@code refuse}: calls are refused with 503 before they are executed
     *   <li>{@code delay_ms}: time that one call takes; -1 keeps the configured one
     * </ul>
     */
    public static final Map<String, Object> FAULTS = Map.of(
            "fail", false,
            "hang", false,
            "close_after", false,
            "close_after_next", 0L,
            "refuse", false,
            "delay_ms", -1L);

    private static final int MAX_LEDGER_ENTRIES = 50_000;
    private static final long DEFAULT_PAGE_SIZE = 1_000;
    private static final long HANG_CHECK_MILLIS = 50;

    private final String id;
    private final long delayMillis;
    private final Faults faults;
    private final Ledger ledger = Ledger.of(MAX_LEDGER_ENTRIES);
    private final LedgerWriter writer;
    private final ExecutionIds executionIds;
    private final AtomicLong refusals = new AtomicLong();

    private ServiceStandIn(String id, long delayMillis, Optional<String> ledgerUrl, Faults faults) {
        this.id = id;
        this.delayMillis = delayMillis;
        this.faults = faults;
        this.executionIds = ExecutionIds.of(id);
        this.writer = LedgerWriter.of(ledger, ledgerUrl);
    }

    /** Creates the server; it is not yet started. */
    public static StandInServer server(
            int port, String id, long delayMillis, Optional<String> ledgerUrl, Faults faults) {
        ServiceStandIn service = new ServiceStandIn(id, delayMillis, ledgerUrl, faults);
        return StandInServer.of(port, faults, service::stats)
                .route(
                        "GET",
                        "/ledger",
                        call -> call.respond(
                                200,
                                service.ledger.read(
                                        call.queryNumber("from", 0), call.queryNumber("max", DEFAULT_PAGE_SIZE))))
                .route("*", "*", service::execute);
    }

    private void execute(Call call) throws IOException, InterruptedException {
        byte[] body = call.body();
        while (faults.isOn("hang")) {
            TimeUnit.MILLISECONDS.sleep(HANG_CHECK_MILLIS);
        }
        if (faults.isOn("refuse")) {
            refusals.incrementAndGet();
            call.respondError(503, "refused", "refused before execution");
            return;
        }
        ObjectNode entry = newEntry(call, body);
        writer.sendToCollector(entry.deepCopy().put("event", "start"));
        TimeUnit.MILLISECONDS.sleep(faults.number("delay_ms") >= 0 ? faults.number("delay_ms") : delayMillis);
        entry.put("event", "end").put("end_ms", System.currentTimeMillis()).put("outcome", "completed");
        writer.writeEnd(entry);
        if (faults.consume("close_after_next") || faults.isOn("close_after")) {
            call.drop();
        } else if (faults.isOn("fail")) {
            call.respondError(500, "failed", "failed after execution");
        } else {
            call.respond(200, echo(entry));
        }
    }

    private ObjectNode newEntry(Call call, byte[] body) {
        ObjectNode entry = Json.object()
                .put("kind", "service")
                .put("source", id)
                .put("execution", executionIds.next())
                .put("request_id", call.header("X-Request-Id").orElse(""))
                .put("method", call.method())
                .put("path", call.target())
                .put("body_sha256", Sha256.hex(body))
                .put("start_ms", System.currentTimeMillis());
        call.header("Idempotency-Key").ifPresent(key -> entry.put("idempotency_key", key));
        return entry;
    }

    private ObjectNode echo(ObjectNode entry) {
        return Json.object()
                .put("service", id)
                .put("method", entry.get("method").asText())
                .put("path", entry.get("path").asText())
                .put("body_sha256", entry.get("body_sha256").asText())
                .put("request_id", entry.get("request_id").asText());
    }

    private ObjectNode stats() {
        return Json.object()
                .put("executed", ledger.size())
                .put("refusals", refusals.get())
                .put("ledger_failures", writer.failures());
    }
}
