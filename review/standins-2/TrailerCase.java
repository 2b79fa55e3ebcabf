import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send chunked bodies of a few bytes, stop just short of the end, inside the trailer fields, and stay open. The
 * trailer fields of a request are smaller than the largest head, and the crowd stays below the rate of the smallest
 * link. Judged are the requests of ordinary clients on kept connections that were passed on to a sound engine and whose
 * connection ended without an answer. Without trouble, the crowd's requests have no trailer fields and are complete.
 */
final class TrailerCase {
    /** Lost requests that the rule allows. */
    private static final int ALLOWED = 3;

    private static final int CROWD = 300;
    private static final int ORDINARY = 10;
    private static final int MAX_HEADER_BYTES = 16_384;

    /** Time between two connections of the crowd: 19 Mbit/s, below the 28 Mbit/s of the smallest machine. */
    private static final long PAUSE_MILLIS = 7;

    /** Longer than stable-window-ms. */
    private static final long CALM_MILLIS = 4000;

    private static final long CROWD_MILLIS = 8000;

    private static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"desk.example\","
            + "\"path-prefix\":\"/desk/\",\"kind\":\"safe\",\"timeout-ms\":6000,\"target-latency-ms\":400,\"priority\":0,"
            + "\"service\":\"desk\",\"max-attempts\":2,\"public\":false}],\"services\":[{\"name\":\"desk\","
            + "\"health-path\":\"/health\",\"max-connections\":110}],\"limits\":{\"max-header-bytes\":"
            + MAX_HEADER_BYTES + ",\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
            + "\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"key1\"]}]}";

    private final Record record;
    private final boolean trouble;
    private final AtomicBoolean over = new AtomicBoolean();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    private TrailerCase(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case");
        int code;
        try (Record record = new Record(Path.of(arguments[1]))) {
            code = new TrailerCase(record, trouble).run(Path.of(arguments[0]), folder);
        }
        System.exit(code);
    }

    private int run(Path root, Path folder) throws Exception {
        Store store = new Store();
        store.put("keyed.op", "config", CONFIG);
        for (int i = 0; i < 3; i++) {
            new PlainEngine("i-" + i, "desk", "tafelbaai", store, (engine, attempt) -> {
                ran.add(attempt);
                record.write("ran " + attempt + " at " + engine.id);
            }).workMillis = 300;
        }
        List<Socket> crowd = new ArrayList<>();
        try (Program entry = Program.startEntry(root, folder, "127.0.0.2", "tafelbaai:wkaap", store.port())) {
            record.say("entry ready");
            for (int i = 0; i < ORDINARY; i++) {
                int client = i;
                Tasks.start(() -> sendRequests(entry, client));
            }
            Thread.sleep(CALM_MILLIS);
            press(entry, crowd);
            Thread.sleep(CROWD_MILLIS);
            boolean alive = entry.alive();
            over.set(true);
            List<String> log = Files.readAllLines(folder.resolve("entry.log"));
            record.say(alive ? "the entry runs" : "the entry has ended by itself with " + entry.exitCode() + ", last output: "
                    + log.get(log.size() - 1));
        }
        for (Socket connection : crowd) {
            connection.close();
        }
        record.say(served.get() + " ordinary requests were answered; " + lost.get()
                + " were passed on to a sound engine and their kept connections closed without an answer");
        if (served.get() < ORDINARY) {
            record.say("too few requests to judge");
            return 2;
        }
        return lost.get() > ALLOWED ? 1 : 0;
    }

    private static String head(int client, int number) {
        return "POST /desk/order HTTP/1.1\r\nHost: desk.example\r\nMasticcroft-Attempt-Id: "
                + String.format("%04x%012x", client, number)
                + "\r\nMasticcroft-Deadline-Ms: 6000\r\nAuthorization: Bearer key1\r\n";
    }

    private void press(Program entry, List<Socket> crowd) throws Exception {
        String end = trouble ? "a:\r\n".repeat((MAX_HEADER_BYTES - 384) / 4) : "\r\n";
        int sent = 0;
        for (int i = 0; i < CROWD; i++) {
            try {
                Socket connection = new Socket(entry.ip, entry.port);
                crowd.add(connection);
                connection
                        .getOutputStream()
                        .write(Http.bytes(head(100 + i, 0) + "Transfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n" + end));
                sent++;
            } catch (IOException e) {
                record.write("crowd: " + e.getMessage());
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        record.say(sent + " requests with chunked bodies and " + end.length() + " bytes behind the last chunk sent");
    }

    private void sendRequests(Program entry, int client) throws Exception {
        for (int number = 0; !over.get(); ) {
            String attempt = "";
            int answered = 0;
            try (Socket connection = new Socket(entry.ip, entry.port)) {
                connection.setSoTimeout(8000);
                InputStream in = new BufferedInputStream(connection.getInputStream());
                boolean open = true;
                while (open && !over.get()) {
                    attempt = String.format("%04x%012x", client, number);
                    record.write("sent " + attempt);
                    connection
                            .getOutputStream()
                            .write(Http.bytes(head(client, number++) + "Content-Length: 5\r\n\r\norder"));
                    Http.Head head = Http.readHead(in);
                    if (head == null) {
                        throw new IOException("closed without an answer");
                    }
                    Http.readBody(in, head);
                    record.write("answered " + attempt + " " + head.status());
                    answered++;
                    served.addAndGet(head.status() == 200 ? 1 : 0);
                    open = !head.closes();
                }
            } catch (IOException e) {
                boolean counts = answered > 0 && ran.contains(attempt) && !over.get();
                lost.addAndGet(counts ? 1 : 0);
                record.write((counts ? "LOST " : "not served ") + attempt + ": " + e.getMessage());
                Thread.sleep(100);
            }
        }
    }
}
