import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two of four engines truncate the body of 3 in 100 answers and send the answer once more on the same connection, late.
 * Judged is what callers get as a success: it has to be the whole body that the engine made for the request.
 */
final class TruncationCase {
    private static final int ENGINES = 4;
    private static final int FAULTY_ENGINES = 2;
    private static final double TRUNCATED_SHARE = 0.03;
    private static final long TROUBLE_MILLIS = 5000;
    private static final long PAUSE_MILLIS = 3000;
    private static final int ROUNDS = 4;

    private static final String ROUTE = "{\"name\":\"r-%1$s\",\"host\":\"desk.example\",\"path-prefix\":\"/%1$s/\","
            + "\"kind\":\"%1$s\",\"timeout-ms\":6000,\"target-latency-ms\":400,\"priority\":0,\"service\":\"desk\","
            + "\"max-attempts\":2,\"public\":false}";
    private static final String CONFIG = "{\"version\":7,\"routes\":[" + ROUTE.formatted("safe") + ","
            + ROUTE.formatted("unsafe") + "],\"services\":[{\"name\":\"desk\",\"health-path\":\"/health\","
            + "\"max-connections\":110}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
            + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api-keys\":"
            + "[\"key1\"]}]}";

    private final Record record;
    private final Random random = new Random(53);
    private final Map<String, String> made = new ConcurrentHashMap<>();
    private final AtomicBoolean truncating = new AtomicBoolean();
    private final AtomicBoolean over = new AtomicBoolean();
    private final AtomicInteger truncated = new AtomicInteger();
    private final AtomicInteger successes = new AtomicInteger();
    private final AtomicInteger wrong = new AtomicInteger();

    private TruncationCase(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case");
        int code;
        try (Record record = new Record(Path.of(arguments[1]))) {
            code = new TruncationCase(record).run(trouble, Path.of(arguments[0]), folder);
        }
        System.exit(code);
    }

    private int run(boolean trouble, Path root, Path folder) throws Exception {
        Store store = new Store();
        store.put("keyed.op", "config", CONFIG);
        for (int i = 0; i < ENGINES; i++) {
            startEngine("i-" + i, i < FAULTY_ENGINES, store);
        }
        try (Program entry = Program.startEntry(root, folder, "127.0.0.2", "tafelbaai:wkaap", store.port())) {
            record.say("entry ready");
            for (int i = 0; i < 8; i++) {
                int client = i;
                Tasks.start(() -> sendRequests(entry, client));
            }
            for (int round = 0; round < ROUNDS; round++) {
                Thread.sleep(PAUSE_MILLIS);
                truncating.set(trouble);
                Thread.sleep(TROUBLE_MILLIS);
                truncating.set(false);
            }
            Thread.sleep(PAUSE_MILLIS);
            over.set(true);
        }
        record.say(truncated.get() + " answers truncated and sent once more; " + successes.get()
                + " successes at callers, " + wrong.get() + " of them with another body than the engine made");
        if (successes.get() < 100 || (trouble && truncated.get() == 0)) {
            record.say("too few answers to judge");
            return 2;
        }
        return wrong.get() > 0 ? 1 : 0;
    }

    private synchronized double nextDouble() {
        return random.nextDouble();
    }

    private void startEngine(String id, boolean faulty, Store store) throws Exception {
        ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Tasks.serve(listener, connection -> answerRequests(connection, id, faulty));
        long born = System.currentTimeMillis();
        String entry = "{\"service\":\"desk\",\"address\":\"127.0.0.1:" + listener.getLocalPort()
                + "\",\"zone\":\"tafelbaai\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,"
                + "\"born\":" + born + ",\"sequence\":";
        store.put("keyed.servers", id, entry + "1}");
        Tasks.start(() -> {
            for (int sequence = 2; true; sequence++) {
                Thread.sleep(1200);
                store.put("keyed.servers", id, entry + sequence + "}");
            }
        });
    }

    private void answerRequests(Socket connection, String id, boolean faulty) throws Exception {
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
            String body = ("[" + attempt + " " + id + "]").repeat(30);
            made.merge(attempt, body, (first, second) -> first + "|" + second);
            record.write("ran " + attempt + " at " + id);
            Thread.sleep(30);
            String answer = "HTTP/1.1 200 OK\r\nMasticcroft-Attempt-Id: " + attempt
                    + "\r\nMasticcroft-Response-Signature: " + id + "." + attempt + "\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body;
            if (faulty && truncating.get() && nextDouble() < TRUNCATED_SHARE) {
                int cut = answer.length() - 1 - (int) (nextDouble() * (body.length() - 1));
                truncated.incrementAndGet();
                record.write("truncated " + attempt + " by " + (answer.length() - cut) + " bytes");
                out.write(Http.bytes(answer.substring(0, cut)));
                Thread.sleep(50 + (int) (nextDouble() * 200));
                record.write("extra response " + attempt);
            }
            out.write(Http.bytes(answer));
        }
    }

    private void sendRequests(Program entry, int client) throws Exception {
        for (int number = 0; !over.get(); ) {
            try (Socket connection = new Socket(entry.ip, entry.port)) {
                connection.setSoTimeout(8000);
                InputStream in = new BufferedInputStream(connection.getInputStream());
                boolean open = true;
                while (open && !over.get()) {
                    String attempt = String.format("%04x%012x", client, number);
                    String start = number++ % 2 == 0 ? "GET /safe/status" : "POST /unsafe/order";
                    record.write("sent " + attempt + " " + start);
                    connection
                            .getOutputStream()
                            .write(Http.bytes(start + " HTTP/1.1\r\nHost: desk.example\r\nMasticcroft-Attempt-Id: "
                                    + attempt + "\r\nMasticcroft-Deadline-Ms: 3000\r\nAuthorization: Bearer key1\r\n"
                                    + (start.startsWith("POST") ? "Content-Length: 5\r\n\r\norder" : "\r\n")));
                    Http.Head head = Http.readHead(in);
                    if (head == null) {
                        throw new IOException("closed");
                    }
                    judge(attempt, head, Http.text(Http.readBody(in, head)));
                    open = !head.closes();
                }
            } catch (IOException e) {
                record.write("client " + client + ": " + e.getMessage());
                Thread.sleep(50);
            }
        }
    }

    private void judge(String attempt, Http.Head head, String body) {
        record.write("answered " + attempt + " " + head.status());
        if (head.status() / 100 != 2) {
            return;
        }
        successes.incrementAndGet();
        boolean whole = java.util.Arrays.asList(made.getOrDefault(attempt, "").split("\\|")).contains(body);
        if (!whole) {
            wrong.incrementAndGet();
            record.write("WRONG BODY " + attempt + ", signature " + head.get("Masticcroft-Response-Signature") + ": "
                    + body.replace("\r\n", "~"));
        }
    }
}
