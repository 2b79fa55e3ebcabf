package org.masticcroft.standins.log;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.Call;
import org.masticcroft.standins.http.Json;
import org.masticcroft.standins.http.StandInServer;

/** HTTP stand-in of the platform's log service. */
public final class LogStandIn {
    /**
     * Fault switches with their values when off:
     *
     * <ul>
     *   <li>{@code outage}: all calls are refused with 503
     *   <li>{@code append_outage}: only appends are refused with 503
     *   <li>{@code lose_response}: probability that an append is applied and its response is lost
     *   <li>{@code lose_next_responses}: number of next appends that are applied and whose responses are lost
     *   <li>{@code slow_ms}: added delay of each call
     * </ul>
     */
    public static final Map<String, Object> FAULTS = Map.of(
            "outage", false, "append_outage", false, "lose_response", 0.0, "lose_next_responses", 0L, "slow_ms", 0L);

    private static final long MAX_WAIT_MILLIS = 30_000;
    private static final long DEFAULT_PAGE_SIZE = 1_000;
    private static final long OUTAGE_CHECK_MILLIS = 200;

    private final LogStreams streams;
    private final Faults faults;
    private final AtomicLong rateRefusals = new AtomicLong();
    private final AtomicLong outageRefusals = new AtomicLong();
    private final AtomicLong lostResponses = new AtomicLong();
    private final AtomicLong reads = new AtomicLong();

    private LogStandIn(LogStreams streams, Faults faults) {
        this.streams = streams;
        this.faults = faults;
    }

    /** Creates the server; it is not yet started. */
    public static StandInServer server(int port, LogStreams streams, Faults faults) {
        LogStandIn log = new LogStandIn(streams, faults);
        return StandInServer.of(port, faults, log::stats)
                .route("POST", "/streams/{stream}/records", log::append)
                .route("GET", "/streams/{stream}/records", log::read);
    }

    private void append(Call call) throws IOException, InterruptedException {
        byte[] data = call.body();
        TimeUnit.MILLISECONDS.sleep(faults.number("slow_ms"));
        if (refuseInOutage(call) || refuseAppend(call)) {
            return;
        }
        OptionalLong offset = streams.append(call.path("stream"), data);
        if (offset.isEmpty()) {
            rateRefusals.incrementAndGet();
            call.respondError(429, "rate_limited", "append rate limit reached");
        } else if (faults.consume("lose_next_responses") || faults.occurs("lose_response")) {
            lostResponses.incrementAndGet();
            call.drop();
        } else {
            call.respond(200, Json.object().put("offset", offset.getAsLong()));
        }
    }

    private void read(Call call) throws IOException, InterruptedException {
        reads.incrementAndGet();
        TimeUnit.MILLISECONDS.sleep(faults.number("slow_ms"));
        String stream = call.path("stream");
        long from = call.queryNumber("from", 0);
        long deadlineNanos = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(Math.min(call.queryNumber("wait_ms", 0), MAX_WAIT_MILLIS));
        while (true) {
            if (refuseInOutage(call)) {
                return;
            }
            ObjectNode page = streams.read(stream, from, call.queryNumber("max", DEFAULT_PAGE_SIZE));
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            boolean expired = page.get("earliest").asLong() > from;
            if (!page.get("records").isEmpty() || expired || remainingMillis <= 0) {
                call.respond(200, page);
                return;
            }
            // Waits in short steps, so that an outage also ends the long polls in progress.
            streams.await(stream, from, Math.min(remainingMillis, OUTAGE_CHECK_MILLIS));
        }
    }

    private boolean refuseInOutage(Call call) throws IOException {
        return faults.isOn("outage") && respondOutage(call);
    }

    private boolean refuseAppend(Call call) throws IOException {
        return faults.isOn("append_outage") && respondOutage(call);
    }

    private boolean respondOutage(Call call) throws IOException {
        outageRefusals.incrementAndGet();
        call.respondError(503, "outage", "the log is down");
        return true;
    }

    private ObjectNode stats() {
        ObjectNode stats = streams.stats();
        stats.put("reads", reads.get());
        stats.put("lost_responses", lostResponses.get());
        stats.putObject("refusals").put("rate_limit", rateRefusals.get()).put("outage", outageRefusals.get());
        return stats;
    }
}
