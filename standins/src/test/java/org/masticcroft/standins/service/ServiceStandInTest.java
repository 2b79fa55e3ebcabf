package org.masticcroft.standins.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.StandInServer;
import org.masticcroft.standins.ledger.LedgerStandIn;

class ServiceStandInTest {
    private final HttpClient client = HttpClient.newHttpClient();
    private final StandInServer collector =
            LedgerStandIn.server(0, Faults.of(LedgerStandIn.FAULTS, 1)).start();
    private final Faults faults = Faults.of(ServiceStandIn.FAULTS, 1);
    private final StandInServer service = ServiceStandIn.server(
                    0, "s1", 0, Optional.of("http://127.0.0.1:" + collector.port()), faults)
            .start();

    @AfterEach
    void stop() {
        service.close();
        collector.close();
    }

    /** Guards against an executed call with a lost response that is missing in the ledgers. */
    @Test
    void recordsACallWhoseConnectionIsClosedAfterExecution() throws Exception {
        faults.set("close_after", "true");
        assertThatThrownBy(() -> order(service)).isInstanceOf(IOException.class);
        assertThat(get(service, "/ledger")).contains("\"idempotency_key\":\"1.a\"", "\"request_id\":\"q1\"");
        assertThat(get(collector, "/entries")).contains("\"event\":\"start\"", "\"event\":\"end\"");
    }

    /** Guards against a refused call that the ledgers show as executed. */
    @Test
    void doesNotRecordARefusedCall() throws Exception {
        faults.set("refuse", "true");
        assertThat(order(service).statusCode()).isEqualTo(503);
        assertThat(get(service, "/ledger")).contains("\"entries\":[]");
        assertThat(get(collector, "/entries")).contains("\"entries\":[]");
    }

    private HttpResponse<String> order(StandInServer server) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + "/orders"))
                .header("Idempotency-Key", "1.a")
                .header("X-Request-Id", "q1")
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private String get(StandInServer server, String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
    }
}
