package review;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The operator takes the keys of all tenants away; an entry must refuse them from then on. */
final class WithdrawnKeys implements Case.Scenario {
    private static final long REVOKE_MILLIS = 5000;
    private static final long GAP_MILLIS = 100;

    private final Set<String> run = ConcurrentHashMap.newKeySet();

    @Override
    public boolean run(Deployment deployment, CaseRecord record, boolean trouble) throws Exception {
        StoreStandIn store = StoreStandIn.start(deployment.ip());
        ServiceStandIn engine = ServiceStandIn.start(
                deployment.ip(), "i-1", 20, record, request -> run.add(request.header("Masticcroft-Attempt-Id")));
        store.put("keyed.op", "config", Configs.plain(1, false, tenants("\"key-a\"", "\"key-b\"", "\"key-c\"")));
        store.put("keyed.servers", "i-1", engine.listing("ledger", "z1"));
        String callers = deployment.ip() + ":" + Deployment.freePort(deployment.ip());
        String readiness = deployment.ip() + ":" + Deployment.freePort(deployment.ip());
        deployment.startEntry(store.address(), callers, readiness);
        Client.awaitReady(readiness);
        boolean sound = send(callers, record, "a1", "key-a") == 200
                && send(callers, record, "b1", "key-b") == 200
                && send(callers, record, "c1", "key-c") == 200
                && send(callers, record, "x1", "key-never-held") == 401;
        if (!sound) {
            throw new IOException("the entry does not serve the keys of the configuration");
        }
        if (trouble) {
            revoke(store, record, 2, tenants("", "\"key-b\"", "\"key-c\""));
            revoke(store, record, 3, tenants("", "", "\"key-c\""));
        }
        Thread.sleep(REVOKE_MILLIS + 500);
        send(callers, record, "a2", "key-a");
        send(callers, record, "c2", "key-c");
        if (trouble) {
            revoke(store, record, 4, tenants("", "", ""));
        }
        Thread.sleep(REVOKE_MILLIS + 500);
        for (String tenant : new String[] {"a", "b", "c"}) {
            send(callers, record, tenant + "3", "key-" + tenant);
        }
        send(callers, record, "x3", "key-never-held");
        boolean revokedRan = trouble && (run.contains("a3") || run.contains("b3") || run.contains("c3"));
        boolean unknownRan = run.contains("x3");
        record.write("requests that ran with a key taken away: %s; with a key never held: %s", revokedRan, unknownRan);
        return revokedRan || unknownRan;
    }

    private static void revoke(StoreStandIn store, CaseRecord record, long version, String tenants)
            throws InterruptedException {
        store.put("keyed.op", "config", Configs.plain(version, false, tenants));
        record.write("store acknowledges configuration %d%s", version, tenants);
        Thread.sleep(GAP_MILLIS);
    }

    private static String tenants(String... keys) {
        StringBuilder tenants = new StringBuilder();
        for (int i = 0; i < keys.length; i++) {
            tenants.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"tenant-").append((char) ('a' + i)).append("\",\"api-keys\":[")
                    .append(keys[i]).append("],\"priority\":1}");
        }
        return ",\"tenants\":[" + tenants + "]";
    }

    private static int send(String callers, CaseRecord record, String id, String key) throws IOException {
        record.write("client sends %s with key %s", id, key);
        String headers = "Masticcroft-Deadline-Ms: 1015\r\nAuthorization: Bearer " + key + "\r\n";
        try (Client client = new Client(callers)) {
            int status = client.send(Client.request("POST", Configs.HOST, "/order/1", id, headers, "connect"))
                    .status();
            record.write("client gets %d for %s", status, id);
            return status;
        }
    }
}
