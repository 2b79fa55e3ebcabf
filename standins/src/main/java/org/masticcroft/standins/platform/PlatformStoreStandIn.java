package org.masticcroft.standins.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.Call;
import org.masticcroft.standins.http.Json;
import org.masticcroft.standins.http.StandInServer;

/** HTTP stand-in of the platform's metadata store: keyed topics with one partition, and long polls. */
public final class PlatformStoreStandIn implements AutoCloseable {
    private static final int DEFAULT_PAGE_RECORDS = 500;

    private final Map<String, KeyedLog> topics = new ConcurrentHashMap<>();
    private volatile long era;
    private final StandInServer server;
    private volatile Outage outage = Outage.NONE;
    private volatile int maxPageRecords = DEFAULT_PAGE_RECORDS;
    private final Map<String, List<Integer>> newestPages = new ConcurrentHashMap<>();

    private PlatformStoreStandIn() {
        server = StandInServer.of(0, Faults.of(Map.of(), 1), Json::object)
                .route("GET", "/-/log-newest", call -> handle(call, this::readNewest))
                .route("GET", "/-/log-read", call -> handle(call, this::read))
                .route("POST", "/-/log-append", call -> handle(call, this::append));
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

    /** Writes a record as the operator or an upstream does; a null value deletes the key. */
    public void put(String topic, String key, String value) {
        putBytes(topic, key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes a record whose value may be any bytes, as another writer may do; no bytes delete the key. */
    public void putBytes(String topic, String key, byte[] value) {
        topic(topic).append(key, value);
    }

    /** Writes a record without content, which has not even the length of a key. */
    public void putEmptyRecord(String topic) {
        topic(topic).appendEmptyRecord();
    }

    /** Deletes the history of a topic; the newest record of each key stays. */
    public void deleteHistory(String topic) {
        topic(topic).expire(Long.MAX_VALUE);
    }

    /** Returns the number of keys of a topic. */
    public int keys(String topic) {
        return topic(topic).newest().size();
    }

    /** Returns the number of records on each page of the newest records of a topic that was read. */
    public List<Integer> newestPages(String topic) {
        return List.copyOf(newestPages.getOrDefault(topic, List.of()));
    }

    /** Sets how the following calls fail. */
    public void setOutage(Outage newOutage) {
        outage = newOutage;
    }

    /** Sets the maximum number of records on a page of newest records. */
    public void setPageSize(int records) {
        maxPageRecords = records;
    }

    /** Sets the era that all responses state; 0 for none. */
    public void setEra(long newEra) {
        era = newEra;
    }

    /** Returns a copy of all topics. */
    public Map<String, KeyedLog> copy() {
        Map<String, KeyedLog> copy = new HashMap<>();
        topics.forEach((name, log) -> copy.put(name, log.copy()));
        return copy;
    }

    /** Comes back from a copy in the next era. Reads that wait are answered in the era in which they were sent. */
    public void restore(Map<String, KeyedLog> copy) {
        topics.clear();
        topics.putAll(copy);
        era++;
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(Call call, Action action) throws IOException, InterruptedException {
        if (era > 0) {
            call.setHeader("Store-Era", Long.toString(era));
        }
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

    private void readNewest(Call call, boolean responseLost) throws IOException {
        KeyedLog log = topic(call.queryText("topic", ""));
        String after = call.queryText("after", "");
        ObjectNode page = Json.object();
        ArrayNode items = page.putArray("items");
        boolean truncated = false;
        for (KeyedLog.Entry entry : log.newest().values()) {
            if (entry.key().compareTo(after) <= 0) {
                continue;
            }
            if (items.size() == maxPageRecords) {
                truncated = true;
                break;
            }
            items.addObject()
                    .put("key", entry.key())
                    .put("value", Base64.getEncoder().encodeToString(entry.value()))
                    .put("offset", entry.offset());
        }
        page.put("truncated", truncated).put("end-offset", log.endOffset());
        newestPages
                .computeIfAbsent(call.queryText("topic", ""), topic -> new CopyOnWriteArrayList<>())
                .add(items.size());
        if (!responseLost) {
            call.respond(200, page);
        }
    }

    private void read(Call call, boolean responseLost) throws IOException, InterruptedException {
        KeyedLog log = topic(call.queryText("topic", ""));
        long from = call.queryNumber("from", 0);
        if (from < log.firstOffset() || from > log.endOffset()) {
            call.respond(410, Json.object().put("first", log.firstOffset()));
            return;
        }
        log.await(from, call.queryNumber("wait-ms", 0));
        if (!responseLost) {
            call.respond(200, log.encode(from));
        }
    }

    private void append(Call call, boolean responseLost) throws IOException {
        String name = call.queryText("topic", "");
        if (name.equals("keyed.op") || name.equals("keyed.servers")) {
            call.respond(403, new byte[0]);
            return;
        }
        KeyedLog log = topic(name);
        long firstAppended = log.endOffset();
        ByteBuffer body = ByteBuffer.wrap(call.body());
        while (body.hasRemaining()) {
            int length = body.getInt();
            byte[] key = new byte[Byte.toUnsignedInt(body.get())];
            body.get(key);
            byte[] value = new byte[length - 1 - key.length];
            body.get(value);
            log.append(new String(key, StandardCharsets.UTF_8), value);
        }
        if (!responseLost) {
            call.respond(200, Json.object().put("offset", firstAppended).put("end-offset", log.endOffset()));
        }
    }

    private KeyedLog topic(String name) {
        return topics.computeIfAbsent(name, key -> new KeyedLog());
    }

    /** The ways in which calls to the store fail. */
    public enum Outage {
        NONE,
        /** Calls are refused with 503 and have no effect. */
        REFUSING,
        /** Connections are closed without a response and calls have no effect. */
        RESETTING,
        /** Calls take effect, but their connections are closed without a response. */
        ANSWERS_LOST
    }

    @FunctionalInterface
    private interface Action {
        void run(Call call, boolean responseLost) throws IOException, InterruptedException;
    }
}
