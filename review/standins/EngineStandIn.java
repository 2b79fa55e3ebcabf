package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/** A model engine: staging area, report, order to load, and streams of tokens. Starts with version 1 loaded and staged. */
final class EngineStandIn {
    private static final long LOAD_MILLIS = 300;
    private static final String DEFAULT_ID = "i-model";
    private static final int TOKENS_PER_EVENT = 5;

    private final String id;
    private final CaseRecord record;
    private final long born = System.currentTimeMillis();
    private final Map<Integer, byte[]> staged = new HashMap<>();
    private Runnable onLoaded = () -> {};
    private volatile LongConsumer onRun = version -> {};
    private volatile long eventGapMillis;
    private HttpStandIn server;
    private long version = 1;
    private long sequence;
    private boolean busy;
    private int active;

    private EngineStandIn(String id, CaseRecord record) {
        this.id = id;
        this.record = record;
        for (int number = 0; number < OriginStandIn.CHUNKS; number++) {
            staged.put(number, OriginStandIn.piece(1, number));
        }
    }

    static EngineStandIn start(String ip, CaseRecord record) throws IOException {
        return start(ip, DEFAULT_ID, record);
    }

    static EngineStandIn start(String ip, String id, CaseRecord record) throws IOException {
        EngineStandIn engine = new EngineStandIn(id, record);
        engine.server = HttpStandIn.start(ip, engine::handle);
        return engine;
    }

    String address() {
        return server.address();
    }

    String id() {
        return id;
    }

    /** Sets the action that runs when the engine has loaded weights. */
    void onLoaded(Runnable action) {
        onLoaded = action;
    }

    /** Sets the action that gets the version with which each request begins. */
    void onRun(LongConsumer action) {
        onRun = action;
    }

    /** Sets the time before each event of a stream. */
    void setEventGap(long millis) {
        eventGapMillis = millis;
    }

    synchronized String listing() {
        return "{\"service\":\"model\",\"address\":\"" + address() + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":16,"
                + "\"state\":\"ready\",\"cold-remaining-ms\":0," + state() + "}";
    }

    private String state() {
        String layers = version == 0 ? "null" : "{\"from\":0,\"target\":16,\"version\":" + version + "}";
        String models = version == 0 ? "" : "{\"name\":\"m0\",\"version\":" + version + ",\"adapters\":[]}";
        return "\"phase\":\"both\",\"models\":[" + models + "],\"layers\":" + layers + ",\"sequence\":" + sequence
                + ",\"born\":" + born;
    }

    private void handle(HttpStandIn.Request request, HttpStandIn.Answer answer)
            throws IOException, InterruptedException {
        String path = request.path();
        if (path.equals("/-/report")) {
            String report;
            synchronized (this) {
                report = "{" + state() + ",\"busy\":" + busy
                        + ",\"queued\":0,\"active\":" + active
                        + ",\"kv-used\":0,\"kv-total\":1180000,\"handles\":0,\"pace\":1.0}";
            }
            answer.json(200, report);
        } else if (path.startsWith("/-/stage-put/")) {
            synchronized (this) {
                staged.put((int) request.number("num", 0), request.body());
            }
            answer.json(200, "{}");
        } else if (path.startsWith("/-/stage-get/")) {
            int number = (int) request.number("num", 0);
            byte[] data;
            synchronized (this) {
                data = staged.get(number);
            }
            answer.respond(data == null ? 404 : 200, "", data == null ? new byte[0] : data);
        } else if (path.equals("/-/order")) {
            answer.json(order(new String(request.body(), StandardCharsets.UTF_8)), "{}");
        } else {
            stream(request, answer);
        }
    }

    private synchronized int order(String order) {
        long ordered = number(order, "version");
        if (busy || number(order, "precondition") != sequence) {
            return 409;
        }
        sequence++;
        busy = true;
        record.write("engine %s accepts the order to load version %d", id, ordered);
        HttpStandIn.daemon(() -> finishLoad(ordered));
        return 202;
    }

    /** Loads after what is running has ended. */
    private void finishLoad(long loaded) {
        try {
            synchronized (this) {
                while (active > 0) {
                    wait();
                }
                version = 0;
            }
            Thread.sleep(LOAD_MILLIS);
        } catch (InterruptedException e) {
            return;
        }
        synchronized (this) {
            version = loaded;
            busy = false;
        }
        record.write("engine %s serves version %d", id, loaded);
        onLoaded.run();
    }

    private void stream(HttpStandIn.Request request, HttpStandIn.Answer answer)
            throws IOException, InterruptedException {
        String attempt = request.header("Masticcroft-Attempt-Id");
        String expected = request.header("Masticcroft-Expect-Version");
        long served;
        synchronized (this) {
            served = version;
            if (!request.header("Masticcroft-Expect-Instance").equals(id)
                    || (!expected.isEmpty() && !expected.equals(Long.toString(served)))) {
                answer.respond(421, "Masticcroft-Attempt-Id: " + attempt + "\r\n", new byte[0]);
                return;
            }
            if (busy || served == 0) {
                answer.respond(
                        503, "Masticcroft-Attempt-Id: " + attempt + "\r\nMasticcroft-Not-Executed: 1\r\n", new byte[0]);
                return;
            }
            active++;
        }
        record.write("engine %s makes tokens of %s with version %d", id, attempt, served);
        onRun.accept(served);
        try {
            sendEvents(request, answer, attempt, served);
        } finally {
            synchronized (this) {
                active--;
                notifyAll();
            }
        }
    }

    private void sendEvents(HttpStandIn.Request request, HttpStandIn.Answer answer, String attempt, long served)
            throws IOException, InterruptedException {
        answer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                        + "Masticcroft-Attempt-Id: " + attempt + "\r\nMasticcroft-Response-Signature: " + id + "."
                        + attempt + "\r\nMasticcroft-Weight-Versions: " + served + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        int events = Integer.parseInt(request.header("Masticcroft-Token-Usage").split(",")[1]) / TOKENS_PER_EVENT;
        for (int number = 1; number <= events; number++) {
            Thread.sleep(eventGapMillis);
            String event = "id: " + number + "\ndata: token " + number + "\n\n";
            answer.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
        }
        answer.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    private static long number(String json, String field) {
        int start = json.indexOf("\"" + field + "\":") + field.length() + 3;
        int end = start;
        while (end < json.length() && Character.isDigit(json.charAt(end))) {
            end++;
        }
        return Long.parseLong(json.substring(start, end));
    }
}
