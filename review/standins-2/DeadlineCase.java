import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * The clients of a large tenant state the largest 64-bit number as their deadline, those of a small tenant 3 s. Judged is
 * whether the small tenant is served at least a quarter as often as all. Without trouble, the large tenant states 6 s.
 */
final class DeadlineCase {
    private static final int LARGE = 0;
    private static final int SMALL = 1;
    private static final long RUN_MILLIS = 20_000;

    private static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"desk.example\","
            + "\"path-prefix\":\"/desk/\",\"kind\":\"safe\",\"timeout-ms\":6000,\"target-latency-ms\":400,\"priority\":0,"
            + "\"service\":\"desk\",\"max-attempts\":2,\"public\":false}],\"services\":[{\"name\":\"desk\","
            + "\"health-path\":\"/health\",\"max-connections\":110}],\"limits\":{\"max-header-bytes\":16384,"
            + "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":"
            + "[{\"name\":\"t0\",\"api-keys\":[\"key0\"]},{\"name\":\"t1\",\"api-keys\":[\"key1\"]}]}";

    private final Record record;
    private final AtomicBoolean over = new AtomicBoolean();
    private final AtomicIntegerArray sent = new AtomicIntegerArray(2);
    private final AtomicIntegerArray served = new AtomicIntegerArray(2);
    private final AtomicIntegerArray closed = new AtomicIntegerArray(2);

    private DeadlineCase(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case");
        int code;
        try (Record record = new Record(Path.of(arguments[1]))) {
            code = new DeadlineCase(record).run(trouble, Path.of(arguments[0]), folder);
        }
        System.exit(code);
    }

    private int run(boolean trouble, Path root, Path folder) throws Exception {
        Store store = new Store();
        store.put("keyed.op", "config", CONFIG);
        for (int i = 0; i < 3; i++) {
            new PlainEngine(
                    "i-" + i, "desk", "tafelbaai", store, (self, attempt) -> record.write("ran " + attempt + " at " + self.id));
        }
        try (Program entry = Program.startEntry(root, folder, "127.0.0.2", "tafelbaai:wkaap", store.port())) {
            record.say("entry ready");
            for (int i = 0; i < 8; i++) {
                int client = i;
                int tenant = client < 6 ? LARGE : SMALL;
                String deadline = tenant == SMALL ? "3000" : trouble ? Long.toString(Long.MAX_VALUE) : "6000";
                Tasks.start(() -> sendRequests(entry, client, tenant, deadline));
            }
            Thread.sleep(RUN_MILLIS);
            over.set(true);
        }
        report("large tenant", LARGE);
        report("small tenant", SMALL);
        if (sent.get(LARGE) < 100 || sent.get(SMALL) < 100) {
            record.say("too few requests to judge");
            return 2;
        }
        double all = (served.get(LARGE) + served.get(SMALL)) / (double) (sent.get(LARGE) + sent.get(SMALL));
        return share(SMALL) < all / 4 ? 1 : 0;
    }

    private double share(int tenant) {
        return served.get(tenant) / (double) sent.get(tenant);
    }

    private void report(String name, int tenant) {
        record.say(name + ": " + sent.get(tenant) + " requests, " + served.get(tenant) + " served, " + closed.get(tenant)
                + " ended with a closed connection");
    }

    private void sendRequests(Program entry, int client, int tenant, String deadline) throws Exception {
        for (int number = 0; !over.get(); ) {
            try (Socket connection = new Socket(entry.ip, entry.port)) {
                connection.setSoTimeout(8000);
                InputStream in = new BufferedInputStream(connection.getInputStream());
                boolean open = true;
                while (open && !over.get()) {
                    String attempt = String.format("%04x%012x", client, number++);
                    record.write("sent " + attempt + " by tenant t" + tenant + " with deadline " + deadline);
                    sent.incrementAndGet(tenant);
                    connection
                            .getOutputStream()
                            .write(Http.bytes("GET /desk/status HTTP/1.1\r\nHost: desk.example\r\nMasticcroft-Attempt-Id: "
                                    + attempt + "\r\nMasticcroft-Deadline-Ms: " + deadline + "\r\nAuthorization: Bearer key"
                                    + tenant + "\r\n\r\n"));
                    Http.Head head = Http.readHead(in);
                    if (head == null) {
                        closed.incrementAndGet(tenant);
                        throw new IOException("closed without an answer");
                    }
                    Http.readBody(in, head);
                    record.write("answered " + attempt + " " + head.status());
                    served.addAndGet(tenant, head.status() == 200 ? 1 : 0);
                    open = !head.closes();
                    Thread.sleep(100);
                }
            } catch (IOException e) {
                record.write("client " + client + ": " + e.getMessage());
                Thread.sleep(100);
            }
        }
    }
}
