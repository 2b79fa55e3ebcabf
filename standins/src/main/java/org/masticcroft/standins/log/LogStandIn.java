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

/** The log service over HTTP. */
public final class LogStandIn {
    /** Switches: outages, appends applied with their response lost (by probability or count), added delay. */
    public static final Map<String, Object> FAULTS = Map.of(
            "outage", false, "append_outage", false, "lose_response", 0.0, "lose_next_responses", 0L, "slow_ms", 0L);

    private static final long MAX_WAIT_MILLIS = 30_000;
    private static final long DEFAULT_PAGE = 1_000;
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
        } else if (faults.take("lose_next_responses") || faults.strikes("lose_response")) {
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
        long end = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(Math.min(call.queryNumber("wait_ms", 0), MAX_WAIT_MILLIS));
        while (true) {
            if (refuseInOutage(call)) {
                return;
            }
            ObjectNode page = streams.read(stream, from, call.queryNumber("max", DEFAULT_PAGE));
            long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            boolean expired = page.get("earliest").asLong() > from;
            if (!page.get("records").isEmpty() || expired || left <= 0) {
                call.respond(200, page);
                return;
            }
            // Waiting in short steps lets an outage end the long polls that are in progress.
            streams.await(stream, from, Math.min(left, OUTAGE_CHECK_MILLIS));
        }
    }

    private boolean refuseInOutage(Call call) throws IOException {
        return faults.isOn("outage") && refuse(call);
    }

    private boolean refuseAppend(Call call) throws IOException {
        return faults.isOn("append_outage") && refuse(call);
    }

    private boolean refuse(Call call) throws IOException {
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
