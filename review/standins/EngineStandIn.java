package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntConsumer;

/** A model engine: staging area, report, order to load, and streams of tokens. Starts with version 1 loaded and staged. */
final class EngineStandIn {
    private static final long LOAD_MILLIS = 300;
    private static final String ID = "i-model";
    private static final int TOKENS_PER_EVENT = 5;

    private final CaseRecord record;
    private final long born = System.currentTimeMillis();
    private final Map<Integer, byte[]> staged = new HashMap<>();
    private final Map<Integer, Long> spoiltNanos = new HashMap<>();
    private volatile IntConsumer onStagedRead = number -> {};
    private Runnable onLoaded = () -> {};
    private volatile long eventGapMillis;
    private HttpStandIn server;
    private long version = 1;
    private long sequence;
    private boolean busy;
    private String fault = "";
    private String brokenRun = "";

    private EngineStandIn(CaseRecord record) {
        this.record = record;
        for (int number = 0; number < OriginStandIn.CHUNKS; number++) {
            staged.put(number, OriginStandIn.piece(1, number));
        }
    }

    static EngineStandIn start(String ip, CaseRecord record) throws IOException {
        EngineStandIn engine = new EngineStandIn(record);
        engine.server = HttpStandIn.start(ip, engine::handle);
        return engine;
    }

    String address() {
        return server.address();
    }

    static String id() {
        return ID;
    }

    /** Sets the action that runs before a staged piece is handed out. */
    void onStagedRead(IntConsumer action) {
        onStagedRead = action;
    }

    /** Sets the action that runs when the engine has loaded weights. */
    void onLoaded(Runnable action) {
        onLoaded = action;
    }

    /** Sets the time before each event of a stream. */
    void setEventGap(long millis) {
        eventGapMillis = millis;
    }

    synchronized long version() {
        return version;
    }

    /** Returns the first request that ran on spoilt weights and what was wrong with them; empty if none did. */
    synchronized String brokenRun() {
        return brokenRun;
    }

    /** Turns a staged piece bad. */
    synchronized void spoil(int number) {
        byte[] data = staged.get(number).clone();
        data[data.length / 2] ^= 0x10;
        staged.put(number, data);
        spoiltNanos.put(number, System.nanoTime());
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
                        + ",\"queued\":0,\"active\":0,\"kv-used\":0,\"kv-total\":1180000,\"handles\":0,\"pace\":1.0}";
            }
            answer.json(200, report);
        } else if (path.startsWith("/-/stage-put/")) {
            synchronized (this) {
                staged.put((int) request.number("num", 0), request.body());
                spoiltNanos.remove((int) request.number("num", 0));
            }
            answer.json(200, "{}");
        } else if (path.startsWith("/-/stage-get/")) {
            int number = (int) request.number("num", 0);
            byte[] data;
            synchronized (this) {
                data = staged.get(number);
            }
            answer.respond(data == null ? 404 : 200, "", data == null ? new byte[0] : data);
            onStagedRead.accept(number);
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
        version = 0;
        fault = faultOfStaged(ordered);
        record.write(
                "engine accepts the order to load version %d; %s",
                ordered, fault.isEmpty() ? "all pieces are sound" : fault);
        HttpStandIn.daemon(() -> finishLoad(ordered));
        return 202;
    }

    /** Describes a piece that is spoilt for more than 3 s, or of another version, or missing; empty if there is none. */
    private String faultOfStaged(long ordered) {
        for (int number = 0; number < OriginStandIn.CHUNKS; number++) {
            Long spoilt = spoiltNanos.get(number);
            double seconds = spoilt == null ? Double.MAX_VALUE : (System.nanoTime() - spoilt) / 1e9;
            if (!Arrays.equals(staged.get(number), OriginStandIn.piece(ordered, number)) && seconds > 3) {
                return spoilt == null
                        ? "piece " + number + " is missing or of another version"
                        : String.format("piece %d turned bad %.2f s before", number, seconds);
            }
        }
        return "";
    }

    private void finishLoad(long loaded) {
        try {
            Thread.sleep(LOAD_MILLIS);
        } catch (InterruptedException e) {
            return;
        }
        synchronized (this) {
            version = loaded;
            busy = false;
        }
        record.write("engine serves version %d", loaded);
        onLoaded.run();
    }

    private void stream(HttpStandIn.Request request, HttpStandIn.Answer answer)
            throws IOException, InterruptedException {
        String attempt = request.header("Masticcroft-Attempt-Id");
        String expected = request.header("Masticcroft-Expect-Version");
        long served;
        synchronized (this) {
            served = version;
            if (!request.header("Masticcroft-Expect-Instance").equals(ID)
                    || (!expected.isEmpty() && !expected.equals(Long.toString(served)))) {
                answer.respond(421, "Masticcroft-Attempt-Id: " + attempt + "\r\n", new byte[0]);
                return;
            }
            if (!fault.isEmpty() && brokenRun.isEmpty()) {
                brokenRun = attempt + " on version " + served + ", of which " + fault;
            }
        }
        record.write("engine makes tokens of %s with version %d", attempt, served);
        answer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                        + "Masticcroft-Attempt-Id: " + attempt + "\r\nMasticcroft-Response-Signature: " + ID + "."
                        + attempt + "\r\nMasticcroft-Weight-Versions: " + served + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        int events = Integer.parseInt(request.header("Masticcroft-Token-Usage").split(",")[1]) / TOKENS_PER_EVENT;
        for (int id = 1; id <= events; id++) {
            Thread.sleep(eventGapMillis);
            String event = "id: " + id + "\ndata: token " + id + "\n\n";
            answer.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
        }
        answer.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        record.write("engine has sent all %d events of %s", events, attempt);
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
