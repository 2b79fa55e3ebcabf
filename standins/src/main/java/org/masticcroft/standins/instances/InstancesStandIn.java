package org.masticcroft.standins.instances;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.Call;
import org.masticcroft.standins.http.HttpFailure;
import org.masticcroft.standins.http.Json;
import org.masticcroft.standins.http.StandInServer;
import org.masticcroft.standins.time.LaggedValue;

/** HTTP stand-in of the platform's instance list; readers see changes after a lag. */
public final class InstancesStandIn {
    /**
     * Fault switches with their values when off:
     *
     * <ul>
     *   <li>{@code down}: reads and changes are refused with 503
     *   <li>{@code reads_down}: only reads are refused with 503
     *   <li>{@code lag_ms}: time after which readers see a change; -1 keeps the configured one
     * </ul>
     */
    public static final Map<String, Object> FAULTS = Map.of("down", false, "reads_down", false, "lag_ms", -1L);

    private final LaggedValue<SortedMap<String, ObjectNode>> instances;
    private final Faults faults;
    private final AtomicLong reads = new AtomicLong();

    private InstancesStandIn(long lagMillis, LongSupplier clockMillis, Faults faults) {
        this.faults = faults;
        this.instances = LaggedValue.of(
                new TreeMap<>(), () -> faults.number("lag_ms") >= 0 ? faults.number("lag_ms") : lagMillis, clockMillis);
    }

    /** Creates the server; it is not yet started. */
    public static StandInServer server(int port, long lagMillis, LongSupplier clockMillis, Faults faults) {
        InstancesStandIn standIn = new InstancesStandIn(lagMillis, clockMillis, faults);
        return StandInServer.of(port, faults, standIn::stats)
                .route("GET", "/instances", standIn::read)
                .route("PUT", "/instances/{id}", standIn::put)
                .route("DELETE", "/instances/{id}", standIn::delete);
    }

    private void read(Call call) throws IOException {
        reads.incrementAndGet();
        if (faults.isOn("reads_down")) {
            throw HttpFailure.of(503, "down", "the instance list is down");
        }
        refuseIfDown();
        ObjectNode page = Json.object();
        ArrayNode list = page.putArray("instances");
        instances.visible().values().forEach(list::add);
        call.respond(200, page);
    }

    private void put(Call call) throws IOException {
        ObjectNode instance = call.jsonBody();
        refuseIfDown();
        String id = call.path("id");
        instance.put("id", id);
        if (!instance.has("state")) {
            instance.put("state", "live");
        }
        update(map -> map.put(id, instance));
        call.respond(200, instance);
    }

    private void delete(Call call) throws IOException {
        refuseIfDown();
        String id = call.path("id");
        update(map -> map.remove(id));
        call.respond(200, Json.object().put("id", id));
    }

    private synchronized void update(Consumer<SortedMap<String, ObjectNode>> change) {
        SortedMap<String, ObjectNode> next = new TreeMap<>(instances.newest());
        change.accept(next);
        instances.set(next);
    }

    private void refuseIfDown() {
        if (faults.isOn("down")) {
            throw HttpFailure.of(503, "down", "the instance list is down");
        }
    }

    private ObjectNode stats() {
        return Json.object()
                .put("reads", reads.get())
                .put("instances", instances.newest().size());
    }
}
