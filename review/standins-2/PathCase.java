import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A client sends names in the path and the query as plain UTF-8. Judged is whether an engine runs a request with the
 * bytes that the client sent; a refusal is no fault. Without trouble, the same names are percent-encoded.
 */
final class PathCase {
    private static final int REQUESTS = 200;

    private static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"desk.example\","
            + "\"path-prefix\":\"/desk/\",\"kind\":\"safe\",\"timeout-ms\":6000,\"target-latency-ms\":400,\"priority\":0,"
            + "\"service\":\"desk\",\"max-attempts\":2,\"public\":false}],\"services\":[{\"name\":\"desk\","
            + "\"health-path\":\"/health\",\"max-connections\":110}],\"limits\":{\"max-header-bytes\":16384,"
            + "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":"
            + "[{\"name\":\"t1\",\"api-keys\":[\"key1\"]}]}";

    private PathCase() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case");
        int code;
        try (Record record = new Record(Path.of(arguments[1]))) {
            code = run(trouble, Path.of(arguments[0]), folder, record);
        }
        System.exit(code);
    }

    private static int run(boolean trouble, Path root, Path folder, Record record) throws Exception {
        Store store = new Store();
        store.put("keyed.op", "config", CONFIG);
        PlainEngine engine = new PlainEngine("i-1", "desk", "tafelbaai", store, (self, attempt) -> {});
        int run = 0;
        int changed = 0;
        try (Program entry = Program.startEntry(root, folder, "127.0.0.2", "tafelbaai:wkaap", store.port())) {
            record.say("entry ready");
            for (int number = 0; number < REQUESTS; number++) {
                String attempt = String.format("%016x", number);
                String name = trouble ? "\u00dfesz\u00e9l" + number : "%C3%9Fesz%C3%A9l" + number;
                String target = "/desk/" + name + "?for=" + name;
                byte[] bytes = target.getBytes(StandardCharsets.UTF_8);
                record.write("sent " + attempt + " GET " + Http.text(bytes));
                record.write("answered " + attempt + " " + send(entry, attempt, bytes));
                String arrived = engine.targets.get(attempt);
                if (arrived != null) {
                    run++;
                    boolean same = arrived.equals(Http.text(bytes));
                    changed += same ? 0 : 1;
                    record.write("ran " + attempt + " with " + (same ? "the same target" : "CHANGED TARGET " + arrived));
                }
            }
        }
        record.say(run + " of " + REQUESTS + " requests ran, " + changed + " with a changed path and query");
        return !trouble && run == 0 ? 2 : changed > 0 ? 1 : 0;
    }

    private static String send(Program entry, String attempt, byte[] target) {
        try (Socket connection = new Socket(entry.ip, entry.port)) {
            connection.setSoTimeout(8000);
            connection.getOutputStream().write(Http.bytes("GET " + Http.text(target)
                    + " HTTP/1.1\r\nHost: desk.example\r\nMasticcroft-Attempt-Id: " + attempt
                    + "\r\nMasticcroft-Deadline-Ms: 3000\r\nAuthorization: Bearer key1\r\n\r\n"));
            InputStream in = new BufferedInputStream(connection.getInputStream());
            Http.Head head = Http.readHead(in);
            return head == null ? "closed" : head.line();
        } catch (IOException e) {
            return e.getMessage();
        }
    }
}
