package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** An engine of a plain service: checks the instance, works for a while and signs its response. */
final class ServiceStandIn {
    private final String id;
    private final long workMillis;
    private final CaseRecord record;
    private final Listener listener;
    private HttpStandIn server;

    private ServiceStandIn(String id, long workMillis, CaseRecord record, Listener listener) {
        this.id = id;
        this.workMillis = workMillis;
        this.record = record;
        this.listener = listener;
    }

    static ServiceStandIn start(String ip, String id, long workMillis, CaseRecord record, Listener listener)
            throws IOException {
        ServiceStandIn service = new ServiceStandIn(id, workMillis, record, listener);
        service.server = HttpStandIn.start(ip, service::handle);
        return service;
    }

    String address() {
        return server.address();
    }

    /** Ends the engine; requests that run there get no answer. */
    void exit() throws IOException {
        server.crash();
    }

    /** Returns the entry that the engine writes to the list of engines. */
    String listing(String service, String zone) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\","
                + "\"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":"
                + System.currentTimeMillis() + "}";
    }

    private void handle(HttpStandIn.Request request, HttpStandIn.Answer answer)
            throws IOException, InterruptedException {
        String attempt = request.header("Masticcroft-Attempt-Id");
        if (!request.header("Masticcroft-Expect-Instance").equals(id)) {
            answer.respond(421, "Masticcroft-Instance-Id: " + id + "\r\n", new byte[0]);
            return;
        }
        record.write(
                "engine %s runs %s, tenant \"%s\"", id, attempt, request.header("Masticcroft-Tenant"));
        listener.onRun(request);
        Thread.sleep(workMillis);
        String headers = "Masticcroft-Attempt-Id: " + attempt + "\r\nMasticcroft-Response-Signature: " + id + "." + attempt
                + "\r\n";
        answer.respond(200, headers, ("done " + attempt).getBytes(StandardCharsets.UTF_8));
    }

    /** Is called when a request begins to run. */
    interface Listener {
        void onRun(HttpStandIn.Request request);
    }
}
