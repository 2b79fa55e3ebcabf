package review;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A sidecar stands still while it verifies the staged pieces, and a piece that it has verified turns bad meanwhile. */
final class FrozenSidecar implements Case.Scenario {
    private static final long FREEZE_MILLIS = 4000;
    private static final int READS_BEFORE_FREEZE = 60;

    /** A piece among the first that are verified. */
    private static final int SPOILT_PIECE = 7;

    @Override
    public boolean run(Deployment deployment, CaseRecord record, boolean trouble) throws Exception {
        StoreStandIn store = StoreStandIn.start(deployment.ip());
        HttpStandIn origin = OriginStandIn.start(deployment.ip());
        EngineStandIn engine = EngineStandIn.start(deployment.sidecarIp(), record);
        store.put(
                "keyed.op",
                "config",
                Configs.model(1, origin.address(), OriginStandIn.CHUNKS, OriginStandIn.CHUNK_BYTES));
        store.put("keyed.servers", EngineStandIn.id(), engine.listing());
        engine.onLoaded(() -> store.put("keyed.servers", EngineStandIn.id(), engine.listing()));
        Process sidecar = deployment.startSidecar(store.address(), engine.address(), "model");
        String callers = deployment.ip() + ":" + Deployment.freePort(deployment.ip());
        String readiness = deployment.ip() + ":" + Deployment.freePort(deployment.ip());
        deployment.startEntry(store.address(), callers, readiness);
        Client.awaitReady(readiness);
        Thread.sleep(4000);
        if (send(callers, record, "text-1") != 200) {
            throw new IOException("the engine does not serve version 1");
        }
        CountDownLatch frozen = new CountDownLatch(1);
        AtomicInteger reads = new AtomicInteger();
        engine.onStagedRead(number -> {
            if (reads.incrementAndGet() != READS_BEFORE_FREEZE) {
                return;
            }
            if (trouble) {
                signal(sidecar, "STOP");
                record.write("sidecar stands still after %d pieces were read back", READS_BEFORE_FREEZE);
            }
            frozen.countDown();
        });
        store.put("keyed.op", "version/m0", "{\"model\":\"m0\",\"version\":2}");
        record.write("store acknowledges version 2 of the weights");
        if (!frozen.await(30, TimeUnit.SECONDS)) {
            throw new IOException("the sidecar verifies no pieces");
        }
        if (trouble) {
            long endNanos = System.nanoTime() + FREEZE_MILLIS * 1_000_000;
            Thread.sleep(100);
            engine.spoil(SPOILT_PIECE);
            record.write("piece %d of the staging area turns bad", SPOILT_PIECE);
            TimeUnit.NANOSECONDS.sleep(endNanos - System.nanoTime());
            signal(sidecar, "CONT");
            record.write("sidecar runs again");
        }
        for (int i = 0; i < 100 && engine.version() != 2; i++) {
            Thread.sleep(200);
        }
        Thread.sleep(1500);
        for (int i = 2; i < 6 && send(callers, record, "text-" + i) != 200; i++) {
            Thread.sleep(1000);
        }
        record.write("request on spoilt weights: %s", engine.brokenRun().isEmpty() ? "none" : engine.brokenRun());
        return !engine.brokenRun().isEmpty();
    }

    private static void signal(Process process, String name) {
        try {
            Deployment.signal(process, name);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int send(String callers, CaseRecord record, String id) throws IOException {
        record.write("client sends %s", id);
        String headers = "Masticcroft-Model: m0\r\nMasticcroft-Token-Usage: 200,15\r\n"
                + "Masticcroft-Prompt-Prefix: a1:40,b2:160\r\nMasticcroft-Deadline-Ms: 6016\r\n";
        try (Client client = new Client(callers)) {
            int status = client.send(Client.request("POST", Configs.HOST, "/text/1", id, headers, "text"))
                    .status();
            record.write("client gets %d for %s", status, id);
            return status;
        }
    }
}
