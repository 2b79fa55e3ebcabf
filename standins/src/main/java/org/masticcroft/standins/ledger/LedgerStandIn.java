package org.masticcroft.standins.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.Call;
import org.masticcroft.standins.http.HttpFailure;
import org.masticcroft.standins.http.Json;
import org.masticcroft.standins.http.StandInServer;

/** Collects the ledger entries of all engines and services, so that they survive the crash of an upstream. */
public final class LedgerStandIn {
    /** Fault switch: {@code down} refuses all calls with 503. */
    public static final Map<String, Object> FAULTS = Map.of("down", false);

    private static final int MAX_ENTRIES = 400_000;
    private static final long DEFAULT_PAGE_SIZE = 1_000;

    private final Ledger ledger = Ledger.of(MAX_ENTRIES);
    private final Faults faults;

    private LedgerStandIn(Faults faults) {
        this.faults = faults;
    }

    /** Creates the server; it is not yet started. */
    public static StandInServer server(int port, Faults faults) {
        LedgerStandIn collector = new LedgerStandIn(faults);
        return StandInServer.of(port, faults, () -> Json.object().put("entries", collector.ledger.size()))
                .route("POST", "/entries", collector::add)
                .route("GET", "/entries", collector::read);
    }

    private void add(Call call) throws IOException {
        JsonNode body = Json.parse(call.body());
        refuseIfDown();
        long sequence = -1;
        for (JsonNode entry : body.isArray() ? body : Json.array().add(body)) {
            if (!(entry instanceof ObjectNode object)) {
                throw HttpFailure.of(400, "malformed", "an entry must be a JSON object");
            }
            sequence = ledger.add(object);
        }
        call.respond(200, Json.object().put("sequence", sequence));
    }

    private void read(Call call) throws IOException {
        refuseIfDown();
        call.respond(200, ledger.read(call.queryNumber("from", 0), call.queryNumber("max", DEFAULT_PAGE_SIZE)));
    }

    private void refuseIfDown() {
        if (faults.isOn("down")) {
            throw HttpFailure.of(503, "down", "the ledger is down");
        }
    }
}
