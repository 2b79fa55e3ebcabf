package review;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** The open connections to the store go silent just before the operator names a new version of the weights. */
final class LateNews implements Case.Scenario {
    private static final long VERSION_MILLIS = 8000;
    private static final long NAMED_AFTER_MILLIS = 30;
    private static final long EVENT_GAP_MILLIS = 200;

    /** Streams of 28 events, so that an engine that waits for their end loads late. */
    private static final int TOKENS = 140;

    private static final long REQUEST_INTERVAL_MILLIS = 60;

    private final AtomicInteger late = new AtomicInteger();
    private volatile long namedNanos;

    @Override
    public boolean run(Deployment deployment, CaseRecord record, boolean trouble) throws Exception {
        StoreStandIn store = StoreStandIn.start(deployment.ip());
        HttpStandIn origin = OriginStandIn.start(deployment.ip());
        store.put(
                "keyed.op",
                "config",
                Configs.model(1, origin.address(), OriginStandIn.CHUNKS, OriginStandIn.CHUNK_BYTES));
        for (int i = 1; i <= 2; i++) {
            EngineStandIn engine = EngineStandIn.start(Deployment.freeIp(), "i-model-" + i, record);
            engine.setEventGap(EVENT_GAP_MILLIS);
            engine.onRun(version -> checkVersion(version, record));
            engine.onLoaded(() -> store.put("keyed.servers", engine.id(), engine.listing()));
            store.put("keyed.servers", engine.id(), engine.listing());
            deployment.startSidecar(store.address(), engine.address(), "model");
        }
        String callers = deployment.ip() + ":" + Deployment.freePort(deployment.ip());
        String readiness = deployment.ip() + ":" + Deployment.freePort(deployment.ip());
        deployment.startEntry(store.address(), callers, readiness);
        Client.awaitReady(readiness);
        Thread.sleep(4000);
        AtomicBoolean ended = new AtomicBoolean();
        HttpStandIn.daemon(() -> sendRequests(callers, ended, record));
        Thread.sleep(5000);
        int polls = store.operatorPolls();
        while (store.operatorPolls() == polls) {
            Thread.sleep(1);
        }
        if (trouble) {
            store.silenceOpenConnections();
            record.write("the open connections to the store go silent");
        }
        Thread.sleep(NAMED_AFTER_MILLIS);
        store.put("keyed.op", "version/m0", "{\"model\":\"m0\",\"version\":2}");
        namedNanos = System.nanoTime();
        record.write("store acknowledges version 2 of the weights");
        Thread.sleep(VERSION_MILLIS + 4000);
        ended.set(true);
        Thread.sleep(6500);
        record.write("requests that began on version 1 later than version_ms: %d", late.get());
        return late.get() > 0;
    }

    private void checkVersion(long version, CaseRecord record) {
        long millis = (System.nanoTime() - namedNanos) / 1_000_000;
        if (namedNanos != 0 && version < 2 && millis > VERSION_MILLIS) {
            late.incrementAndGet();
            record.write("  on version 1, %d ms after version 2 was acknowledged", millis);
        }
    }

    private static void sendRequests(String callers, AtomicBoolean ended, CaseRecord record) {
        for (int i = 0; !ended.get(); i++) {
            String id = "text-" + i;
            HttpStandIn.daemon(() -> {
                try (Client client = new Client(callers)) {
                    int status = client.send(Client.request(
                                    "POST",
                                    Configs.HOST,
                                    "/text/1",
                                    id,
                                    "Masticcroft-Model: m0\r\nMasticcroft-Token-Usage: 200," + TOKENS
                                            + "\r\nMasticcroft-Prompt-Prefix: a1:40,b2:160\r\n"
                                            + "Masticcroft-Deadline-Ms: 6016\r\n",
                                    "text"))
                            .status();
                    if (status != 200) {
                        record.write("client gets %d for %s", status, id);
                    }
                } catch (IOException e) {
                    record.write("client: %s for %s", e.getMessage(), id);
                }
            });
            try {
                Thread.sleep(REQUEST_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
