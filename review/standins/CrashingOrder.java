package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** An unsafe request crashes each engine that begins to run it, and comes again at one entry after another. */
final class CrashingOrder implements Case.Scenario {
    private static final int ENTRIES = 6;
    private static final int ENGINES = 3;
    private static final int SENDS = 13;
    private static final long SEND_INTERVAL_MILLIS = 5000;

    /** Time until a crashed engine is back; its entry in the list expires after three heartbeats of silence. */
    private static final long DOWN_MILLIS = 4500;

    private static final long LISTING_LIFETIME_MILLIS = 3600;
    private static final long STABLE_MILLIS = 3000;
    private static final int CRASHES_BEFORE_BOUND = 3;
    private static final int MAX_RETRIES = 3;
    private static final long WORK_MILLIS = 150;
    private static final String CRASHING_BODY = "disconnect cubicle 13";

    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger lateRetries = new AtomicInteger();
    private final AtomicInteger lostOrders = new AtomicInteger();
    private final AtomicInteger starts = new AtomicInteger();
    private volatile long thirdCrashNanos;

    @Override
    public boolean run(Deployment deployment, CaseRecord record, boolean trouble) throws Exception {
        StoreStandIn store = StoreStandIn.start(deployment.ip());
        HttpStandIn origin = OriginStandIn.start(deployment.ip());
        EngineStandIn model = EngineStandIn.start(deployment.sidecarIp(), record);
        store.put(
                "keyed.op",
                "config",
                Configs.model(1, origin.address(), OriginStandIn.CHUNKS, OriginStandIn.CHUNK_BYTES));
        store.put("keyed.servers", model.id(), model.listing());
        for (int i = 0; i < ENGINES; i++) {
            startEngine(deployment.ip(), 0, store, record, trouble);
        }
        deployment.startSidecar(store.address(), model.address(), "model");
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(deployment.startFurtherEntry(store.address()));
        }
        Thread.sleep(STABLE_MILLIS + 1000);
        AtomicBoolean ended = new AtomicBoolean();
        HttpStandIn.daemon(() -> sendOtherOrders(entries, ended, record));
        for (int i = 0; i < SENDS; i++) {
            int entry = i % ENTRIES;
            record.write("client sends crashing-%d to entry %d", i + 1, entry + 1);
            record.write(
                    "client gets %s for crashing-%d", send(entries.get(entry), "crashing-" + (i + 1), CRASHING_BODY), i + 1);
            Thread.sleep(SEND_INTERVAL_MILLIS);
        }
        ended.set(true);
        record.write(
                "engines crashed: %d; retries that reached one later than 3 s after the third crash: %d; other orders "
                        + "that ran and got no answer of their engine: %d",
                crashes.get(), lateRetries.get(), lostOrders.get());
        return lateRetries.get() > MAX_RETRIES;
    }

    /** Starts an engine under a new id; port 0 takes any free port. */
    private void startEngine(String ip, int port, StoreStandIn store, CaseRecord record, boolean trouble)
            throws IOException {
        String id = "i-" + starts.incrementAndGet();
        HttpStandIn[] server = new HttpStandIn[1];
        server[0] = HttpStandIn.start(ip, port, (request, answer) -> {
            String attempt = request.header("Masticcroft-Attempt-Id");
            if (!request.header("Masticcroft-Expect-Instance").equals(id)) {
                answer.respond(421, "Masticcroft-Instance-Id: " + id + "\r\n", new byte[0]);
                return;
            }
            if (trouble && new String(request.body()).equals(CRASHING_BODY)) {
                crash(server[0], id, attempt, ip, store, record);
                return;
            }
            Thread.sleep(WORK_MILLIS);
            answer.respond(
                    200,
                    "Masticcroft-Attempt-Id: " + attempt + "\r\nMasticcroft-Response-Signature: " + id + "." + attempt
                            + "\r\n",
                    "done".getBytes());
        });
        store.put(
                "keyed.servers",
                id,
                "{\"service\":\"ledger\",\"address\":\"" + server[0].address() + "\",\"zone\":\"z1\",\"version\":\"v1\","
                        + "\"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":"
                        + System.currentTimeMillis() + "}");
    }

    private void crash(
            HttpStandIn server, String id, String attempt, String ip, StoreStandIn store, CaseRecord record)
            throws IOException {
        long now = System.nanoTime();
        if (thirdCrashNanos != 0 && now - thirdCrashNanos > STABLE_MILLIS * 1_000_000) {
            lateRetries.incrementAndGet();
        }
        if (crashes.incrementAndGet() == CRASHES_BEFORE_BOUND) {
            thirdCrashNanos = now;
        }
        record.write("engine %s begins to run %s and crashes (crash %d)", id, attempt, crashes.get());
        server.crash();
        HttpStandIn.daemon(() -> {
            try {
                Thread.sleep(LISTING_LIFETIME_MILLIS);
                store.put("keyed.servers", id, null);
                Thread.sleep(DOWN_MILLIS - LISTING_LIFETIME_MILLIS);
                startEngine(ip, server.port(), store, record, true);
            } catch (IOException | InterruptedException e) {
                record.write("engine does not come back: %s", e);
            }
        });
    }

    /** Other clients send ordinary orders meanwhile. */
    private void sendOtherOrders(List<String> entries, AtomicBoolean ended, CaseRecord record) {
        for (int i = 0; !ended.get(); i++) {
            String id = "order-" + i;
            String entry = entries.get(i % entries.size());
            HttpStandIn.daemon(() -> {
                String result = send(entry, id, "connect cubicle 7");
                if (!result.equals("200") && !result.equals("503")) {
                    lostOrders.incrementAndGet();
                    record.write("another client gets %s for %s", result, id);
                }
            });
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static String send(String callers, String id, String body) {
        try (Client client = new Client(callers)) {
            return Integer.toString(client.send(Client.request(
                            "POST", Configs.HOST, "/order/1", id, "Masticcroft-Deadline-Ms: 1015\r\n", body))
                    .status());
        } catch (IOException e) {
            return "no answer (" + e.getMessage() + ")";
        }
    }
}
