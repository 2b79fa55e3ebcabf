package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** The platform stops an entry while streams run; when they end, their clients go on with the kept connections. */
final class StopDuringStream implements Case.Scenario {
    private static final int CLIENTS = 3;
    private static final long EVENT_GAP_MILLIS = 200;

    /** Tokens of the stream that runs at the time of the stop, and of the next one: 20 and 21 events. */
    private static final int FIRST_TOKENS = 100;

    private static final int SECOND_TOKENS = 105;

    /** Time from the begin of the first streams to the stop. */
    private static final long STOP_AFTER_MILLIS = 500;

    /** A request that is sent sooner after SIGTERM may be cut in the last sixth of the grace period. */
    private static final double MIN_SECONDS_AFTER_STOP = 3;

    private final Set<String> cut = ConcurrentHashMap.newKeySet();
    private volatile long stopNanos;

    @Override
    public boolean run(Deployment deployment, CaseRecord record, boolean trouble) throws Exception {
        StoreStandIn store = StoreStandIn.start(deployment.ip());
        HttpStandIn origin = OriginStandIn.start(deployment.ip());
        EngineStandIn engine = EngineStandIn.start(deployment.sidecarIp(), record);
        engine.setEventGap(EVENT_GAP_MILLIS);
        store.put(
                "keyed.op",
                "config",
                Configs.model(1, origin.address(), OriginStandIn.CHUNKS, OriginStandIn.CHUNK_BYTES));
        store.put("keyed.servers", engine.id(), engine.listing());
        deployment.startSidecar(store.address(), engine.address(), "model");
        String callers = deployment.ip() + ":" + Deployment.freePort(deployment.ip());
        String readiness = deployment.ip() + ":" + Deployment.freePort(deployment.ip());
        Process entry = deployment.startEntry(store.address(), callers, readiness);
        Client.awaitReady(readiness);
        Thread.sleep(4000);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Client(callers));
        }
        CountDownLatch ended = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            String name = Integer.toString(i + 1);
            Client client = clients.get(i);
            HttpStandIn.daemon(() -> {
                if (send(client, "first-" + name, FIRST_TOKENS, record)) {
                    send(client, "second-" + name, SECOND_TOKENS, record);
                }
                ended.countDown();
            });
        }
        Thread.sleep(STOP_AFTER_MILLIS);
        stopNanos = System.nanoTime();
        if (trouble) {
            Deployment.signal(entry, "TERM");
            record.write("SIGTERM to the entry");
        }
        if (!ended.await(30, TimeUnit.SECONDS)) {
            throw new IOException("a client waits without end");
        }
        record.write(
                "streams that were sent later than %.0f s after SIGTERM, begun, and cut off: %s",
                MIN_SECONDS_AFTER_STOP, cut);
        return !cut.isEmpty();
    }

    /** Returns whether the stream was complete and the client may go on with its connection. */
    private boolean send(Client client, String id, int tokens, CaseRecord record) {
        double secondsAfterStop = stopNanos == 0 ? 0 : (System.nanoTime() - stopNanos) / 1e9;
        record.write("client sends %s, %.2f s after the time of the stop", id, secondsAfterStop);
        byte[] request = Client.request(
                "POST",
                Configs.HOST,
                "/text/1",
                id,
                "Masticcroft-Model: m0\r\nMasticcroft-Token-Usage: 200," + tokens
                        + "\r\nMasticcroft-Prompt-Prefix: a1:40,b2:160\r\nMasticcroft-Deadline-Ms: 6016\r\n",
                "text");
        try {
            Client.Response response = client.send(request);
            int events = response.body().split("\n\n").length;
            boolean kept = !response.headers().getOrDefault("Connection", "").equals("close");
            record.write(
                    "client gets %d for %s, %d events, the connection is %s",
                    response.status(), id, events, kept ? "kept" : "closed");
            return response.status() == 200 && kept;
        } catch (IOException e) {
            record.write("client: %s for %s", e.getMessage(), id);
            if (secondsAfterStop > MIN_SECONDS_AFTER_STOP && e.getMessage().contains("broke off")) {
                cut.add(id);
            }
            return false;
        }
    }
}
