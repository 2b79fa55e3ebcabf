package review;

import java.io.IOException;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** The store is down for a few seconds; once it counts as stable again, an engine leaves the list. */
final class StoreOutage implements Case.Scenario {
    private static final long STABLE_MILLIS = 3000;
    private static final long DRAIN_MILLIS = 2000;

    private static final long OUTAGE_MILLIS = 3250;

    /** Time from the end of the outage to the engine's leaving, at which the store is stable again. */
    private static final long LEAVE_AFTER_MILLIS = STABLE_MILLIS + 100;

    /** Slack for the way of a request from the client over the entry to the engine. */
    private static final long SLACK_MILLIS = 50;

    /** Time from its removal to the exit of the engine, which serves for drain-ms and a little longer. */
    private static final long EXIT_AFTER_MILLIS = DRAIN_MILLIS + 200;

    private static final long WORK_MILLIS = 120;
    private static final long REQUEST_INTERVAL_MILLIS = 20;

    private final Set<String> late = ConcurrentHashMap.newKeySet();
    private final Set<String> lost = ConcurrentHashMap.newKeySet();
    private volatile long leftNanos;

    @Override
    public boolean run(Deployment deployment, CaseRecord record, boolean trouble) throws Exception {
        StoreStandIn store = StoreStandIn.start(deployment.ip());
        ServiceStandIn leaving = ServiceStandIn.start(deployment.ip(), "i-leaving", WORK_MILLIS, record, request -> {
            long bound = leftNanos + (DRAIN_MILLIS + SLACK_MILLIS) * 1_000_000;
            if (leftNanos != 0 && System.nanoTime() > bound) {
                late.add(request.header("Masticcroft-Attempt-Id"));
                record.write("  later than drain-ms after the engine's leaving was acknowledged");
            }
        });
        ServiceStandIn staying = ServiceStandIn.start(deployment.ip(), "i-staying", WORK_MILLIS, record, request -> {});
        store.put("keyed.op", "config", Configs.plain(1, true, ""));
        store.put("keyed.servers", "i-leaving", leaving.listing("ledger", "z1"));
        store.put("keyed.servers", "i-staying", staying.listing("ledger", "z2"));
        String callers = deployment.ip() + ":" + Deployment.freePort(deployment.ip());
        String readiness = deployment.ip() + ":" + Deployment.freePort(deployment.ip());
        deployment.startEntry(store.address(), callers, readiness);
        Client.awaitReady(readiness);
        Thread.sleep(3000);
        AtomicBoolean ended = new AtomicBoolean();
        HttpStandIn.daemon(() -> sendOrders(callers, ended, record));
        Thread.sleep(new Random().nextInt(2000));
        if (trouble) {
            store.goDown();
            record.write("the store is down; it answers nothing");
        }
        Thread.sleep(OUTAGE_MILLIS);
        long endNanos = System.nanoTime();
        if (trouble) {
            store.comeBack();
            record.write("the store is back");
        }
        sleepUntil(endNanos + LEAVE_AFTER_MILLIS * 1_000_000);
        store.put("keyed.servers", "i-leaving", null);
        leftNanos = System.nanoTime();
        record.write("store acknowledges that i-leaving is gone");
        sleepUntil(leftNanos + EXIT_AFTER_MILLIS * 1_000_000);
        leaving.exit();
        record.write("i-leaving exits");
        Thread.sleep(2000);
        ended.set(true);
        Thread.sleep(500);
        record.write("requests that reached the engine too late: %d; of these, answered 502: %d", late.size(), lost.size());
        return !late.isEmpty();
    }

    private void sendOrders(String callers, AtomicBoolean ended, CaseRecord record) {
        for (int i = 0; !ended.get(); i++) {
            String id = "order-" + i;
            HttpStandIn.daemon(() -> {
                try (Client client = new Client(callers)) {
                    int status = client.send(Client.request(
                                    "POST",
                                    Configs.HOST,
                                    "/order/1",
                                    id,
                                    "Masticcroft-Deadline-Ms: 1015\r\n",
                                    "connect"))
                            .status();
                    if (status == 502 && late.contains(id)) {
                        lost.add(id);
                        record.write("client gets 502 for %s, which has run", id);
                    }
                } catch (IOException e) {
                    record.write("client gets no answer for %s: %s", id, e.getMessage());
                }
            });
            try {
                Thread.sleep(REQUEST_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
    }
}
