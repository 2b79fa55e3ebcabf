import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A sound engine of a plain service that answers each request with 800 bytes, and writes its entry to the store. */
final class PlainEngine {
    private static final long HEARTBEAT_MILLIS = 1200;

    interface Listener {
        void ran(PlainEngine engine, String attempt);
    }

    final String id;
    final String zone;
    private final String service;
    private final ServerSocket listener;
    private final Listener onRun;
    private final long born = System.currentTimeMillis();
    volatile long workMillis = 30;
    private int sequence;

    /** Request targets by attempt, as they arrived, with a character for each byte. */
    final Map<String, String> targets = new ConcurrentHashMap<>();

    PlainEngine(String id, String service, String zone, Store store, Listener onRun) throws Exception {
        this.id = id;
        this.zone = zone;
        this.service = service;
        this.onRun = onRun;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Tasks.serve(listener, this::handle);
        store.put("keyed.servers", id, entry());
        Tasks.start(() -> {
            while (true) {
                Thread.sleep(HEARTBEAT_MILLIS);
                store.put("keyed.servers", id, entry());
            }
        });
    }

    private String entry() {
        sequence++;
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + listener.getLocalPort() + "\",\"zone\":\""
                + zone + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,\"born\":" + born
                + ",\"sequence\":" + sequence + "}";
    }

    private void handle(Socket connection) throws Exception {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        OutputStream out = connection.getOutputStream();
        for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
            Http.readBody(in, head);
            String attempt = head.get("Masticcroft-Attempt-Id");
            if (!head.get("Masticcroft-Expect-Instance").equals(id)) {
                out.write(Http.bytes("HTTP/1.1 421 Misdirected Request\r\nMasticcroft-Attempt-Id: " + attempt
                        + "\r\nMasticcroft-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"));
                continue;
            }
            targets.put(attempt, head.path());
            onRun.ran(this, attempt);
            Thread.sleep(workMillis);
            out.write(Http.bytes("HTTP/1.1 200 OK\r\nMasticcroft-Attempt-Id: " + attempt
                    + "\r\nMasticcroft-Response-Signature: " + id + "." + attempt + "\r\nContent-Length: 800\r\n\r\n"
                    + "x".repeat(800)));
        }
    }
}
