package org.masticcroft.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.Call;
import org.masticcroft.standins.http.Json;
import org.masticcroft.standins.http.StandInServer;

/** HTTP stand-in of the weights interface of an engine on the platform: report, staging area and orders. */
public final class PlatformEngineStandIn implements AutoCloseable {
    private final StandInServer server;
    private final String model;
    private final Map<Integer, byte[]> staged = new HashMap<>();
    private final List<Long> loadedVersions = new CopyOnWriteArrayList<>();
    private long version;
    private long orderCount;
    private long startCount = 1;

    private PlatformEngineStandIn(String model) {
        this.model = model;
        server = StandInServer.of(0, Faults.of(Map.of(), 1), Json::object)
                .route("GET", "/-/report", this::report)
                .route("PUT", "/-/stage-put/{model}", this::putStaged)
                .route("GET", "/-/stage-get/{model}", this::getStaged)
                .route("POST", "/-/order", this::order);
    }

    /** Starts an engine without weights on a free port. */
    public static PlatformEngineStandIn start(String model) {
        PlatformEngineStandIn engine = new PlatformEngineStandIn(model);
        engine.server.start();
        return engine;
    }

    public int port() {
        return server.port();
    }

    /** Returns the versions that the engine was ordered to load, in order. */
    public List<Long> loadedVersions() {
        return List.copyOf(loadedVersions);
    }

    /** Returns a copy of the staged pieces. */
    public synchronized Map<Integer, byte[]> staged() {
        return new HashMap<>(staged);
    }

    /** Flips a bit in a staged piece. */
    public synchronized void corruptStaged(int piece) {
        byte[] data = staged.get(piece).clone();
        data[0] ^= 1;
        staged.put(piece, data);
    }

    /** Simulates a restart: the loaded weights and the order count are lost, the staged pieces stay. */
    public synchronized void restart() {
        version = 0;
        orderCount = 0;
        startCount++;
    }

    @Override
    public void close() {
        server.close();
    }

    private void report(Call call) throws IOException {
        ObjectNode report = Json.object();
        synchronized (this) {
            report.put("phase", "both").put("busy", false).put("sequence", orderCount);
            report.put("queued", 0).put("active", 0).put("born", startCount);
            report.putArray("models");
            if (version > 0) {
                report.withArray("models").addObject().put("name", model).put("version", version);
                report.putObject("layers").put("from", 0).put("target", 16).put("version", version);
            } else {
                report.putNull("layers");
            }
        }
        call.respond(200, report);
    }

    private void putStaged(Call call) throws IOException {
        byte[] data = call.body();
        synchronized (this) {
            staged.put((int) call.queryNumber("num", -1), data);
        }
        call.respond(200, new byte[0]);
    }

    private void getStaged(Call call) throws IOException {
        byte[] data;
        synchronized (this) {
            data = staged.get((int) call.queryNumber("num", -1));
        }
        call.respond(data == null ? 404 : 200, data == null ? new byte[0] : Arrays.copyOf(data, data.length));
    }

    private void order(Call call) throws IOException {
        ObjectNode order = call.jsonBody();
        int status;
        synchronized (this) {
            if (!order.path("operation").asText().equals("start")) {
                status = 400;
            } else if (order.has("precondition") && order.path("precondition").asLong() != orderCount) {
                status = 409;
            } else if (order.path("version").asLong() == version) {
                status = 200;
            } else {
                version = order.path("version").asLong();
                orderCount++;
                loadedVersions.add(version);
                status = 202;
            }
        }
        call.respond(status, new byte[0]);
    }
}
