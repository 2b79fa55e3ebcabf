import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send chunked bodies of a few bytes, stop just short of the end, inside the trailer fields, and stay open. The
 * trailer fields of a request are smaller than the largest head. Without trouble, the requests have no trailer fields
 * and are complete.
 */
final class TrailerCase {
    private static final int ENTRIES = 2;
    private static final int ROUNDS = 3;
    private static final int CONNECTIONS = 300;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final long ROUND_MILLIS = 8000;

    private static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"desk.example\","
            + "\"path-prefix\":\"/desk/\",\"kind\":\"safe\",\"timeout-ms\":6000,\"target-latency-ms\":400,\"priority\":0,"
            + "\"service\":\"desk\",\"max-attempts\":2,\"public\":false}],\"services\":[{\"name\":\"desk\","
            + "\"health-path\":\"/health\",\"max-connections\":110}],\"limits\":{\"max-header-bytes\":"
            + MAX_HEADER_BYTES + ",\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
            + "\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"key1\"]}]}";

    private final Record record;
    private final boolean trouble;
    private final AtomicInteger served = new AtomicInteger();

    private TrailerCase(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Record record = new Record(Path.of(arguments[1]))) {
            code = new TrailerCase(record, trouble).run(Path.of(arguments[0]));
        }
        System.exit(code);
    }

    private int run(Path root) throws Exception {
        Store store = new Store();
        store.put("keyed.op", "config", CONFIG);
        new PlainEngine("i-1", "desk", "tafelbaai", store, (engine, attempt) -> record.write("ran " + attempt));
        Path[] folders = new Path[ENTRIES];
        Program[] entries = new Program[ENTRIES];
        int[] ends = new int[ENTRIES];
        for (int i = 0; i < ENTRIES; i++) {
            folders[i] = Files.createTempDirectory("case");
            entries[i] = start(root, folders[i], i, store);
        }
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < ENTRIES; i++) {
                ordinaryRequest(entries[i], round * ENTRIES + i);
            }
            List<Socket> crowd = new ArrayList<>();
            for (Program entry : entries) {
                press(entry, crowd);
            }
            Thread.sleep(ROUND_MILLIS);
            for (int i = 0; i < ENTRIES; i++) {
                if (entries[i].alive()) {
                    record.say("round " + round + ": entry " + i + " runs");
                } else {
                    ends[i]++;
                    record.say("round " + round + ": entry " + i + " has ended by itself with " + entries[i].exitCode()
                            + ", last output: " + lastLine(folders[i]));
                }
            }
            for (Socket connection : crowd) {
                connection.close();
            }
            for (int i = 0; i < ENTRIES; i++) {
                if (!entries[i].alive()) {
                    entries[i] = start(root, folders[i], i, store);
                }
            }
        }
        int broken = 0;
        for (int i = 0; i < ENTRIES; i++) {
            entries[i].close();
            broken += ends[i] >= ROUNDS ? 1 : 0;
        }
        record.say(broken + " of " + ENTRIES + " entries ended by themselves " + ROUNDS + " times; " + served.get()
                + " ordinary requests were served before the rounds");
        return served.get() < ENTRIES ? 2 : broken == ENTRIES ? 1 : 0;
    }

    private static Program start(Path root, Path folder, int entry, Store store) throws Exception {
        return Program.startEntry(root, folder, "127.0.0." + (2 + entry), "tafelbaai:wkaap", store.port());
    }

    private static String lastLine(Path folder) throws IOException {
        List<String> lines = Files.readAllLines(folder.resolve("entry.log"));
        return lines.isEmpty() ? "none" : lines.get(lines.size() - 1);
    }

    private static String head(int client, int number) {
        return "POST /desk/order HTTP/1.1\r\nHost: desk.example\r\nMasticcroft-Attempt-Id: "
                + String.format("%04x%012x", client, number)
                + "\r\nMasticcroft-Deadline-Ms: 6000\r\nAuthorization: Bearer key1\r\n";
    }

    private void press(Program entry, List<Socket> crowd) {
        String trailers = trouble ? "a:\r\n".repeat((MAX_HEADER_BYTES - 384) / 4) : "\r\n";
        int sent = 0;
        for (int i = 0; i < CONNECTIONS; i++) {
            try {
                Socket connection = new Socket(entry.ip, entry.port);
                crowd.add(connection);
                connection
                        .getOutputStream()
                        .write(Http.bytes(head(100 + i, crowd.size())
                                + "Transfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n" + trailers));
                sent++;
            } catch (IOException e) {
                record.write("crowd: " + e.getMessage());
            }
        }
        record.say(sent + " requests with chunked bodies and " + trailers.length() + " bytes behind the last chunk sent to "
                + entry.ip);
    }

    private void ordinaryRequest(Program entry, int number) {
        try (Socket connection = new Socket(entry.ip, entry.port)) {
            connection.setSoTimeout(8000);
            connection.getOutputStream().write(Http.bytes(head(1, number) + "Content-Length: 5\r\n\r\norder"));
            Http.Head head = Http.readHead(new BufferedInputStream(connection.getInputStream()));
            record.say("ordinary request " + number + ": " + (head == null ? "closed" : head.line()));
            served.addAndGet(head != null && head.status() == 200 ? 1 : 0);
        } catch (IOException e) {
            record.say("ordinary request " + number + ": " + e.getMessage());
        }
    }
}
