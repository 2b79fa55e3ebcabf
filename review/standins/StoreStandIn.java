package review;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The platform's metadata store: keyed topics with one partition, as PROTOCOL.md states them. */
final class StoreStandIn {
    private static final int PAGE_RECORDS = 500;

    private final Map<String, List<KeyedRecord>> topics = new HashMap<>();
    private final Set<Socket> connections = new HashSet<>();
    private final Set<Socket> silent = new HashSet<>();
    private final AtomicInteger operatorPolls = new AtomicInteger();
    private boolean down;
    private HttpStandIn server;

    static StoreStandIn start(String ip) throws IOException {
        StoreStandIn store = new StoreStandIn();
        store.server = HttpStandIn.start(ip, store::handle);
        return store;
    }

    String address() {
        return server.address();
    }

    /** Writes a record of the operator or of an engine; null deletes the key. */
    synchronized void put(String topic, String key, String value) {
        append(topic, key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8));
    }

    /** Makes all open connections go silent for good, without a reset; new ones work. */
    synchronized void silenceOpenConnections() {
        silent.addAll(connections);
    }

    /** Returns the number of long polls of the operator's records so far. */
    int operatorPolls() {
        return operatorPolls.get();
    }

    /** Begins an outage: calls that are open, and all further ones, are never answered. */
    synchronized void goDown() {
        down = true;
        silent.addAll(connections);
    }

    /** Ends the outage; connections that had a call during the outage stay silent. */
    synchronized void comeBack() {
        down = false;
    }

    private void append(String topic, String key, byte[] value) {
        topics.computeIfAbsent(topic, name -> new ArrayList<>()).add(new KeyedRecord(key, value));
        notifyAll();
    }

    private void handle(HttpStandIn.Request request, HttpStandIn.Answer answer)
            throws IOException, InterruptedException {
        synchronized (this) {
            connections.add(answer.socket());
            if (down) {
                silent.add(answer.socket());
            }
        }
        String topic = topic(request);
        if (request.path().equals("/-/log-read") && topic.equals("keyed.op")) {
            operatorPolls.incrementAndGet();
        }
        switch (request.method() + " " + request.path()) {
            case "GET /-/log-newest" -> answer(answer, 200, "application/json", newest(topic, request));
            case "GET /-/log-read" -> answer(answer, 200, "application/octet-stream", read(topic, request));
            case "POST /-/log-append" -> answer(answer, 200, "application/json", appendAll(topic, request.body()));
            default -> answer(answer, 404, "text/plain", new byte[0]);
        }
    }

    private static String topic(HttpStandIn.Request request) {
        return request.query().getOrDefault("topic", "");
    }

    private void answer(HttpStandIn.Answer answer, int status, String type, byte[] body) throws IOException {
        synchronized (this) {
            if (silent.contains(answer.socket())) {
                return;
            }
        }
        answer.respond(status, "Content-Type: " + type + "\r\n", body);
    }

    private synchronized byte[] newest(String topic, HttpStandIn.Request request) {
        List<KeyedRecord> log = topics.getOrDefault(topic, List.of());
        TreeMap<String, Integer> newest = new TreeMap<>();
        for (int offset = 0; offset < log.size(); offset++) {
            newest.put(log.get(offset).key(), offset);
        }
        newest.values().removeIf(offset -> log.get(offset).value().length == 0);
        String after = URLDecoder.decode(request.query().getOrDefault("after", ""), StandardCharsets.UTF_8);
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean truncated = false;
        for (Map.Entry<String, Integer> entry : newest.tailMap(after, after.isEmpty()).entrySet()) {
            if (count == PAGE_RECORDS) {
                truncated = true;
                break;
            }
            items.append(count++ == 0 ? "" : ",")
                    .append("{\"key\":\"").append(entry.getKey()).append("\",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString(log.get(entry.getValue()).value()))
                    .append("\",\"offset\":").append(entry.getValue()).append('}');
        }
        return ("{\"items\":[" + items + "],\"truncated\":" + truncated + ",\"end-offset\":" + log.size() + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] read(String topic, HttpStandIn.Request request)
            throws IOException, InterruptedException {
        int from = (int) request.number("from", 0);
        long endNanos = System.nanoTime() + request.number("wait-ms", 0) * 1_000_000;
        List<KeyedRecord> log = topics.computeIfAbsent(topic, name -> new ArrayList<>());
        while (log.size() <= from && System.nanoTime() < endNanos) {
            wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(log.size());
        out.writeLong(0);
        for (KeyedRecord record : log.subList(Math.min(from, log.size()), log.size())) {
            byte[] key = record.key().getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + record.value().length);
            out.writeByte(key.length);
            out.write(key);
            out.write(record.value());
        }
        return bytes.toByteArray();
    }

    private synchronized byte[] appendAll(String topic, byte[] body) {
        int first = topics.getOrDefault(topic, List.of()).size();
        ByteBuffer records = ByteBuffer.wrap(body);
        while (records.hasRemaining()) {
            int length = records.getInt();
            byte[] key = new byte[Byte.toUnsignedInt(records.get())];
            records.get(key);
            byte[] value = new byte[length - 1 - key.length];
            records.get(value);
            append(topic, new String(key, StandardCharsets.UTF_8), value);
        }
        return ("{\"offset\":" + first + ",\"end-offset\":" + topics.getOrDefault(topic, List.of()).size() + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private record KeyedRecord(String key, byte[] value) {}
}
