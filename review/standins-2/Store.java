import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Stand-in of the platform's store: keyed topics with one partition, reads that wait, and appends. It may be away and
 * come back from an older copy; {@code Store-Era} then rises by one in all its answers.
 */
final class Store {
    private record Entry(String key, byte[] value) {}

    private final int port;
    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final Set<Socket> connections = new HashSet<>();
    private ServerSocket listener;
    private Map<String, List<Entry>> copy = Map.of();
    private int era = 1;
    private boolean away;

    Store() throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        port = listener.getLocalPort();
        Tasks.serve(listener, this::handle);
    }

    int port() {
        return port;
    }

    /** Writes a record, or drops its key without a value; returns whether the store acknowledged it. */
    synchronized boolean put(String topic, String key, String value) {
        if (away) {
            return false;
        }
        topics.computeIfAbsent(topic, name -> new ArrayList<>())
                .add(new Entry(key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
        return true;
    }

    /** Makes the copy from which the store comes back later. */
    synchronized void makeCopy() {
        Map<String, List<Entry>> made = new HashMap<>();
        topics.forEach((topic, entries) -> made.put(topic, new ArrayList<>(entries)));
        copy = made;
    }

    /** Ends all connections and refuses new ones. */
    synchronized void goAway() throws IOException {
        away = true;
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
        notifyAll();
    }

    /** Comes back from the copy. */
    synchronized void comeBack() throws IOException {
        topics.clear();
        copy.forEach((topic, entries) -> topics.put(topic, new ArrayList<>(entries)));
        era++;
        away = false;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new java.net.InetSocketAddress("127.0.0.1", port), 200);
        Tasks.serve(listener, this::handle);
    }

    private void handle(Socket connection) throws Exception {
        synchronized (this) {
            connections.add(connection);
        }
        InputStream in = new BufferedInputStream(connection.getInputStream());
        for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
            byte[] body = Http.readBody(in, head);
            Map<String, String> query = query(head.path());
            byte[] reply;
            int status = 200;
            String topic = query.getOrDefault("topic", "");
            if (head.path().startsWith("/-/log-newest")) {
                reply = newest(topic);
            } else if (head.path().startsWith("/-/log-read")) {
                int from = Integer.parseInt(query.get("from"));
                reply = read(topic, from, Long.parseLong(query.getOrDefault("wait-ms", "0")));
                status = reply == null ? 410 : 200;
                reply = reply == null ? Http.bytes("{\"first\":0}") : reply;
            } else if (head.path().startsWith("/-/log-append")) {
                reply = append(topic, body);
            } else {
                status = 400;
                reply = new byte[0];
            }
            connection
                    .getOutputStream()
                    .write(Http.bytes("HTTP/1.1 " + status + " -\r\nStore-Era: " + currentEra() + "\r\nContent-Length: "
                            + reply.length + "\r\n\r\n"));
            connection.getOutputStream().write(reply);
        }
    }

    private synchronized int currentEra() {
        return era;
    }

    private static Map<String, String> query(String uri) {
        Map<String, String> query = new HashMap<>();
        int start = uri.indexOf('?');
        for (String field : start < 0 ? new String[0] : uri.substring(start + 1).split("&")) {
            String[] parts = field.split("=", 2);
            query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
        }
        return query;
    }

    private synchronized byte[] newest(String topic) {
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        Map<String, Integer> newest = new TreeMap<>();
        for (int offset = 0; offset < entries.size(); offset++) {
            newest.put(entries.get(offset).key(), offset);
        }
        List<String> items = new ArrayList<>();
        newest.forEach((key, offset) -> {
            byte[] value = entries.get(offset).value();
            if (value.length > 0) {
                items.add("{\"key\":\"" + key + "\",\"value\":\""
                        + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + offset + "}");
            }
        });
        return Http.bytes("{\"items\":[" + String.join(",", items) + "],\"truncated\":false,\"end-offset\":"
                + entries.size() + "}");
    }

    /** Returns the records from an offset; null if the topic does not reach up to it. */
    private synchronized byte[] read(String topic, int from, long waitMillis) throws Exception {
        long endNanos = System.nanoTime() + waitMillis * 1_000_000;
        int eraAtStart = era;
        while (!away && size(topic) <= from && endNanos - System.nanoTime() > 0) {
            wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
        }
        if (away || era != eraAtStart) {
            throw new IOException("the store is away");
        }
        if (from > size(topic)) {
            return null;
        }
        ByteArrayOutputStream reply = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(reply);
        out.writeLong(size(topic));
        out.writeLong(0);
        for (Entry entry : topics.getOrDefault(topic, List.of()).subList(from, size(topic))) {
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + entry.value().length);
            out.writeByte(key.length);
            out.write(key);
            out.write(entry.value());
        }
        return reply.toByteArray();
    }

    private synchronized byte[] append(String topic, byte[] body) {
        List<Entry> entries = topics.computeIfAbsent(topic, name -> new ArrayList<>());
        int keyLength = body[4] & 0xff;
        String key = new String(body, 5, keyLength, StandardCharsets.UTF_8);
        entries.add(new Entry(key, java.util.Arrays.copyOfRange(body, 5 + keyLength, body.length)));
        return Http.bytes("{\"offset\":" + (entries.size() - 1) + ",\"end-offset\":" + entries.size() + "}");
    }

    private int size(String topic) {
        return topics.getOrDefault(topic, List.of()).size();
    }
}
