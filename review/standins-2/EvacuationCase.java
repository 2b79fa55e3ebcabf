import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An operator evacuates a zone, takes it back, and evacuates it again while the store is away for a moment. The store
 * comes back from a copy some seconds old; the operator's write, which it has repeated, is acknowledged then. Without
 * trouble, the store stays where it is and the second evacuation is written at the same time.
 */
final class EvacuationCase {
    /** Bounds of the sheet: evacuation-ms, max-stretch-ms and stable-window-ms. */
    private static final long EVACUATION_MILLIS = 5000;

    private static final long MAX_STRETCH_MILLIS = 6000;
    private static final long STABLE_WINDOW_MILLIS = 4000;

    private static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"desk.example\","
            + "\"path-prefix\":\"/desk/\",\"kind\":\"safe\",\"timeout-ms\":6000,\"target-latency-ms\":400,\"priority\":0,"
            + "\"service\":\"desk\",\"max-attempts\":2,\"public\":false}],\"services\":[{\"name\":\"desk\","
            + "\"health-path\":\"/health\",\"max-connections\":110}],\"limits\":{\"max-header-bytes\":16384,"
            + "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":"
            + "[{\"name\":\"t1\",\"api-keys\":[\"key1\"]}]}";

    private EvacuationCase() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path root = Path.of(arguments[0]);
        Path folder = Files.createTempDirectory("case");
        int code;
        try (Record record = new Record(Path.of(arguments[1]))) {
            code = run(trouble, root, folder, record);
        }
        System.exit(code);
    }

    private static int run(boolean trouble, Path root, Path folder, Record record) throws Exception {
        Store store = new Store();
        store.put("keyed.op", "config", CONFIG);
        AtomicLong judgedFrom = new AtomicLong(Long.MAX_VALUE);
        AtomicInteger late = new AtomicInteger();
        AtomicInteger inZoneA = new AtomicInteger();
        PlainEngine.Listener listener = (engine, attempt) -> {
            record.write("ran " + attempt + " at " + engine.id + " in " + engine.zone);
            if (engine.zone.equals("ngqura") && record.millis() > judgedFrom.get()) {
                late.incrementAndGet();
            } else if (record.millis() > judgedFrom.get()) {
                inZoneA.incrementAndGet();
            }
        };
        for (int i = 0; i < 2; i++) {
            new PlainEngine("i-a" + i, "desk", "tafelbaai", store, listener);
            new PlainEngine("i-b" + i, "desk", "ngqura", store, listener);
        }
        AtomicBoolean over = new AtomicBoolean();
        try (Program entry =
                Program.startEntry(root, folder, "127.0.0.2", "ngqura:oosk,tafelbaai:wkaap", store.port())) {
            record.say("entry ready");
            for (int i = 0; i < 8; i++) {
                int client = i;
                Tasks.start(() -> sendRequests(entry, client, over, record));
            }
            Thread.sleep(2000);
            put(store, "evacuate ngqura", "{\"zone\":\"ngqura\"}", record);
            Thread.sleep(7000);
            put(store, "take the evacuation back", null, record);
            Thread.sleep(6000);
            store.makeCopy();
            Thread.sleep(3000);
            if (trouble) {
                store.goAway();
                record.say("the store is away");
                Thread.sleep(1000);
                store.comeBack();
                put(store, "evacuate ngqura, acknowledged as the store is back", "{\"zone\":\"ngqura\"}", record);
            } else {
                Thread.sleep(1000);
                put(store, "evacuate ngqura", "{\"zone\":\"ngqura\"}", record);
            }
            judgedFrom.set(record.millis() + EVACUATION_MILLIS + MAX_STRETCH_MILLIS + STABLE_WINDOW_MILLIS);
            Thread.sleep(EVACUATION_MILLIS + MAX_STRETCH_MILLIS + STABLE_WINDOW_MILLIS + 10_000);
            over.set(true);
        }
        record.say("judged from " + judgedFrom.get() + " ms: " + late.get() + " requests reached the evacuated zone, "
                + inZoneA.get() + " the other one");
        if (late.get() + inZoneA.get() < 20) {
            record.say("too few requests to judge");
            return 2;
        }
        return late.get() > 0 ? 1 : 0;
    }

    private static void put(Store store, String what, String value, Record record) {
        boolean acknowledged = store.put("keyed.op", "evacuate/ngqura", value);
        record.say("operator: " + what + (acknowledged ? "" : " (not acknowledged)"));
    }

    private static void sendRequests(Program entry, int client, AtomicBoolean over, Record record) throws Exception {
        for (int number = 0; !over.get(); ) {
            try (Socket connection = new Socket(entry.ip, entry.port)) {
                connection.setSoTimeout(8000);
                InputStream in = new BufferedInputStream(connection.getInputStream());
                boolean open = true;
                while (open && !over.get()) {
                    String attempt = String.format("%04x%012x", client, number++);
                    record.write("sent " + attempt);
                    connection
                            .getOutputStream()
                            .write(Http.bytes("GET /desk/status HTTP/1.1\r\nHost: desk.example\r\nMasticcroft-Attempt-Id: "
                                    + attempt + "\r\nMasticcroft-Deadline-Ms: 3000\r\nAuthorization: Bearer key1\r\n\r\n"));
                    Http.Head head = Http.readHead(in);
                    if (head == null) {
                        throw new IOException("closed");
                    }
                    Http.readBody(in, head);
                    record.write("answered " + attempt + " " + head.status());
                    open = !head.closes();
                    Thread.sleep(50);
                }
            } catch (IOException e) {
                record.write("client " + client + ": " + e.getMessage());
                Thread.sleep(100);
            }
        }
    }
}
