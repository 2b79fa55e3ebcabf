package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** The platform stops an entry while clients on kept connections are still sending their requests. */
final class StopDuringUpload implements Case.Scenario {
    /** Time from SIGTERM to the last byte of each request; its first bytes are sent 200 ms earlier. */
    private static final int[] LAST_BYTE_MILLIS = {2630, 2645, 2660, 2675};

    private static final long SEND_MILLIS = 200;
    private static final long WORK_MILLIS = 150;

    private final Set<String> run = ConcurrentHashMap.newKeySet();
    private final Set<String> lost = ConcurrentHashMap.newKeySet();

    @Override
    public boolean run(Deployment deployment, CaseRecord record, boolean trouble) throws Exception {
        StoreStandIn store = StoreStandIn.start(deployment.ip());
        ServiceStandIn engine = ServiceStandIn.start(
                deployment.ip(),
                "i-1",
                WORK_MILLIS,
                record,
                request -> run.add(request.header("Masticcroft-Attempt-Id")));
        store.put("keyed.op", "config", Configs.plain(1, true, ""));
        store.put("keyed.servers", "i-1", engine.listing("ledger", "z1"));
        String callers = deployment.ip() + ":" + Deployment.freePort(deployment.ip());
        String readiness = deployment.ip() + ":" + Deployment.freePort(deployment.ip());
        Process entry = deployment.startEntry(store.address(), callers, readiness);
        Client.awaitReady(readiness);
        Thread.sleep(3000);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < LAST_BYTE_MILLIS.length; i++) {
            Client client = new Client(callers);
            clients.add(client);
            if (client.send(order("warm-" + i)).status() != 200) {
                throw new IOException("the entry does not serve requests");
            }
        }
        long startNanos = System.nanoTime();
        if (trouble) {
            Deployment.signal(entry, "TERM");
            record.write("SIGTERM to the entry");
        }
        CountDownLatch ended = new CountDownLatch(clients.size());
        for (int i = 0; i < clients.size(); i++) {
            Client client = clients.get(i);
            String id = "order-" + i;
            long lastByteNanos = startNanos + LAST_BYTE_MILLIS[i] * 1_000_000L;
            HttpStandIn.daemon(() -> {
                send(client, id, lastByteNanos, record);
                ended.countDown();
            });
        }
        if (!ended.await(20, TimeUnit.SECONDS)) {
            throw new IOException("a client waits without end");
        }
        record.write("the entry has ended: %s", !entry.isAlive());
        lost.retainAll(run);
        record.write("requests that ran and whose connection ended without an answer: %s", lost);
        return !lost.isEmpty();
    }

    private static byte[] order(String id) {
        return Client.request(
                "POST", Configs.HOST, "/order/1", id, "Masticcroft-Deadline-Ms: 3023\r\n", "connect cubicle 7");
    }

    private void send(Client client, String id, long lastByteNanos, CaseRecord record) {
        byte[] request = order(id);
        try {
            sleepUntil(lastByteNanos - SEND_MILLIS * 1_000_000);
            client.write(request, 0, request.length / 2);
            record.write("client sends the first bytes of %s", id);
            sleepUntil(lastByteNanos);
            client.write(request, request.length / 2, request.length);
            record.write("client sends the last byte of %s", id);
            record.write("client gets %d for %s", client.read().status(), id);
        } catch (IOException e) {
            lost.add(id);
            record.write("client gets no answer for %s: %s", id, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
    }
}
