package org.masticcroft.standins.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.Call;
import org.masticcroft.standins.http.Json;
import org.masticcroft.standins.http.StandInServer;

/** The platform's store: keyed topics with one partition, long polls, deletion, outages and lost answers. */
public final class PlatformStoreStandIn implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;

    private final Map<String, KeyedLog> topics = new ConcurrentHashMap<>();
    private final StandInServer server;
    private volatile Outage outage = Outage.NONE;
    private volatile int pageItems = PAGE_ITEMS;

    private PlatformStoreStandIn() {
        server = StandInServer.of(0, Faults.of(Map.of(), 1), Json::object)
                .route("GET", "/-/log-newest", call -> answer(call, this::readNewest))
                .route("GET", "/-/log-read", call -> answer(call, this::read))
                .route("POST", "/-/log-append", call -> answer(call, this::append));
    }

    /** Starts a store without records on a free port. */
    public static PlatformStoreStandIn start() {
        PlatformStoreStandIn store = new PlatformStoreStandIn();
        store.server.start();
        return store;
    }

    public int port() {
        return server.port();
    }

    /** Writes a record as the operator or an upstream does; null drops the key. */
    public void put(String topic, String key, String value) {
        topic(topic).append(key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8));
    }

    /** Deletes the history of a topic; the newest record of each key stays. */
    public void deleteHistory(String topic) {
        topic(topic).expire(Long.MAX_VALUE);
    }

    /** Returns the number of keys of a topic. */
    public int keys(String topic) {
        return topic(topic).newest().size();
    }

    /** Sets how calls fail from now on. */
    public void setOutage(Outage newOutage) {
        outage = newOutage;
    }

    /** Sets the number of records on a page. */
    public void setPageSize(int items) {
        pageItems = items;
    }

    @Override
    public void close() {
        server.close();
    }

    private void answer(Call call, Action action) throws IOException, InterruptedException {
        switch (outage) {
            case REFUSING -> call.respond(503, new byte[0]);
            case RESETTING -> call.drop();
            case ANSWERS_LOST -> {
                action.run(call, true);
                call.drop();
            }
            default -> action.run(call, false);
        }
    }

    private void readNewest(Call call, boolean lost) throws IOException {
        KeyedLog log = topic(call.queryText("topic", ""));
        String after = call.queryText("after", "");
        ObjectNode page = Json.object();
        ArrayNode items = page.putArray("items");
        boolean truncated = false;
        for (KeyedLog.Entry entry : log.newest().values()) {
            if (entry.key().compareTo(after) <= 0) {
                continue;
            }
            if (items.size() == pageItems) {
                truncated = true;
                break;
            }
            items.addObject()
                    .put("key", entry.key())
                    .put("value", Base64.getEncoder().encodeToString(entry.value()))
                    .put("offset", entry.offset());
        }
        page.put("truncated", truncated).put("end-offset", log.end());
        if (!lost) {
            call.respond(200, page);
        }
    }

    private void read(Call call, boolean lost) throws IOException, InterruptedException {
        KeyedLog log = topic(call.queryText("topic", ""));
        long from = call.queryNumber("from", 0);
        if (from < log.first()) {
            call.respond(410, Json.object().put("first", log.first()));
            return;
        }
        log.await(from, call.queryNumber("wait-ms", 0));
        if (!lost) {
            call.respond(200, log.encode(from));
        }
    }

    private void append(Call call, boolean lost) throws IOException {
        String name = call.queryText("topic", "");
        if (name.equals("keyed.op") || name.equals("keyed.servers")) {
            call.respond(403, new byte[0]);
            return;
        }
        KeyedLog log = topic(name);
        long first = log.end();
        ByteBuffer body = ByteBuffer.wrap(call.body());
        while (body.hasRemaining()) {
            int length = body.getInt();
            byte[] key = new byte[Byte.toUnsignedInt(body.get())];
            body.get(key);
            byte[] value = new byte[length - 1 - key.length];
            body.get(value);
            log.append(new String(key, StandardCharsets.UTF_8), value);
        }
        if (!lost) {
            call.respond(200, Json.object().put("offset", first).put("end-offset", log.end()));
        }
    }

    private KeyedLog topic(String name) {
        return topics.computeIfAbsent(name, key -> new KeyedLog());
    }

    /** How the store fails. */
    public enum Outage {
        NONE,
        /** Calls are refused with 503 and nothing is done. */
        REFUSING,
        /** Connections end without an answer and nothing is done. */
        RESETTING,
        /** Calls are done and not answered. */
        ANSWERS_LOST
    }

    @FunctionalInterface
    private interface Action {
        void run(Call call, boolean lost) throws IOException, InterruptedException;
    }
}
