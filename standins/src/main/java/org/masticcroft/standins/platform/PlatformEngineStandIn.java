package org.masticcroft.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.IntConsumer;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.Call;
import org.masticcroft.standins.http.Json;
import org.masticcroft.standins.http.StandInServer;

/**
 * HTTP stand-in of an engine on the platform: report, staging area, orders and requests. It takes layers from its
 * staging area as they are when it accepts an order, for the whole model or a part of its layers. A request makes one
 * token with the layers that are loaded.
 */
public final class PlatformEngineStandIn implements AutoCloseable {
    private static final int LAYERS = 16;

    private final StandInServer server;
    private final String model;
    private final CallFaults faults = new CallFaults();
    private final Map<Integer, StagedPiece> staged = new HashMap<>();
    private final List<Long> loadedVersions = new CopyOnWriteArrayList<>();
    private Duration loadTime = Duration.ZERO;
    private volatile Duration answerTime = Duration.ZERO;
    private long version;
    private Map<Integer, TakenLayer> layers = Map.of();

    /** The layers that are loaded besides the kept ones until the load is complete. */
    private Map<Integer, TakenLayer> loading = Map.of();

    private long loadedNanos = System.nanoTime();
    private long orderCount;
    private long startCount = 1;
    private int readsUntilAction;
    private IntConsumer actionAfterReads = piece -> {};
    private volatile EngineListener listener = EngineListener.none();

    private PlatformEngineStandIn(String ip, int port, String model) {
        this.model = model;
        server = StandInServer.of(ip, port, Faults.of(Map.of(), 1), Json::object)
                .route("GET", "/-/report", this::report)
                .route("PUT", "/-/stage-put/{model}", this::putStaged)
                .route("GET", "/-/stage-get/{model}", this::getStaged)
                .route("POST", "/-/order", this::order)
                .route("POST", "*", this::answer);
    }

    /** Starts an engine without weights on a free port. */
    public static PlatformEngineStandIn start(String model) {
        return start("127.0.0.1", 0, model);
    }

    /** Starts an engine without weights at a loopback address. */
    public static PlatformEngineStandIn start(String ip, int port, String model) {
        PlatformEngineStandIn engine = new PlatformEngineStandIn(ip, port, model);
        engine.server.start();
        return engine;
    }

    public int port() {
        return server.port();
    }

    /** Returns the faults of the calls to this engine. */
    public CallFaults faults() {
        return faults;
    }

    /** Sets how long a load of the whole model takes; a part takes its share. */
    public synchronized void setLoadTime(Duration time) {
        loadTime = time;
    }

    /** Sets how long a request takes until its token is made. */
    public void setAnswerTime(Duration time) {
        answerTime = time;
    }

    /** Returns the versions that the engine was ordered to load whole, in order. */
    public List<Long> loadedVersions() {
        return List.copyOf(loadedVersions);
    }

    /** Returns a copy of the staged pieces. */
    public synchronized Map<Integer, byte[]> staged() {
        Map<Integer, byte[]> copy = new HashMap<>();
        staged.forEach((index, piece) -> copy.put(index, piece.data()));
        return copy;
    }

    /** Flips a bit in a staged piece, if there is one. */
    public synchronized void corruptStaged(int piece) {
        staged.computeIfPresent(piece, (index, present) -> present.spoilt(System.nanoTime()));
    }

    /** Sets what is told of accepted orders and tokens. */
    public void setListener(EngineListener engineListener) {
        listener = engineListener;
    }

    /** Runs an action after the given number of further read-backs, before the last of them is answered. */
    public void afterReads(int count, Runnable action) {
        afterReads(count, piece -> action.run());
    }

    /** Does the same with an action that is given the piece that was read last. */
    public synchronized void afterReads(int count, IntConsumer action) {
        readsUntilAction = count;
        actionAfterReads = action;
    }

    /**
     * Simulates a restart: the loaded weights and the order count are lost, the staged pieces stay. Calls that have not
     * been handled are dropped.
     */
    public synchronized void restart() {
        version = 0;
        layers = Map.of();
        loading = Map.of();
        orderCount = 0;
        startCount++;
    }

    /** Simulates a loss of power: a restart that also loses the staged pieces. */
    public synchronized void losePower() {
        restart();
        staged.clear();
    }

    /** Returns the version whose layers are all loaded, so that the engine makes tokens with it; 0 if none is. */
    public synchronized long servedVersion() {
        finishLoad();
        return loading.isEmpty() && layers.size() == LAYERS ? version : 0;
    }

    /**
     * Returns what is wrong with the layers that the engine has taken.
     *
     * @param pieceCount number of pieces of a version
     * @param tolerance time for which a piece may have been bad when its layer was taken
     */
    public synchronized List<String> unsoundLayers(int pieceCount, Duration tolerance) {
        List<String> faultyPieces = new ArrayList<>();
        Map<Integer, TakenLayer> all = new HashMap<>(layers);
        all.putAll(loading);
        all.forEach((layer, taken) -> {
            for (int piece = firstPiece(layer, pieceCount); piece < endPiece(layer, pieceCount); piece++) {
                int index = piece;
                StagedPiece.fault(
                                taken.pieces().get(index),
                                PlatformOriginStandIn.pieceOf(taken.version(), index),
                                taken.takenNanos(),
                                tolerance)
                        .ifPresent(fault -> faultyPieces.add("layer " + layer + " of version " + taken.version()
                                + ": piece " + index + " was " + fault));
            }
        });
        return faultyPieces;
    }

    /** Returns what the engine says of itself in a report. */
    public synchronized ObjectNode report() {
        finishLoad();
        ObjectNode report = Json.object();
        report.put("phase", "both").put("busy", !loading.isEmpty()).put("sequence", orderCount);
        report.put("queued", 0).put("active", 0).put("born", startCount);
        report.putArray("models");
        if (version > 0) {
            report.withArray("models").addObject().put("name", model).put("version", version);
        }
        if (layers.isEmpty()) {
            report.putNull("layers");
        } else {
            report.putObject("layers")
                    .put("from", layers.keySet().stream().min(Integer::compare).orElseThrow())
                    .put(
                            "target",
                            1 + layers.keySet().stream().max(Integer::compare).orElseThrow())
                    .put("version", version);
        }
        return report;
    }

    @Override
    public void close() {
        server.close();
    }

    private static int firstPiece(int layer, int pieceCount) {
        return layer * pieceCount / LAYERS;
    }

    private static int endPiece(int layer, int pieceCount) {
        return ((layer + 1) * pieceCount + LAYERS - 1) / LAYERS;
    }

    private void report(Call call) throws IOException, InterruptedException {
        if (!await(call, CallFaults.Kind.REPORT)) {
            return;
        }
        call.respond(200, report());
    }

    /** Waits as the faults require; drops the call and returns false if the engine has restarted meanwhile. */
    private boolean await(Call call, CallFaults.Kind kind) throws InterruptedException {
        long startsBefore = startCount();
        faults.await(kind);
        boolean sameStart = startCount() == startsBefore;
        if (!sameStart) {
            call.drop();
        }
        return sameStart;
    }

    private synchronized long startCount() {
        return startCount;
    }

    private void finishLoad() {
        if (!loading.isEmpty() && System.nanoTime() - loadedNanos >= 0) {
            Map<Integer, TakenLayer> all = new HashMap<>(layers);
            all.putAll(loading);
            layers = all;
            loading = Map.of();
        }
    }

    private void putStaged(Call call) throws IOException, InterruptedException {
        byte[] data = call.body();
        if (!await(call, CallFaults.Kind.STAGE)) {
            return;
        }
        synchronized (this) {
            staged.put((int) call.queryNumber("num", -1), StagedPiece.staged(data));
        }
        call.respond(200, new byte[0]);
    }

    private void getStaged(Call call) throws IOException, InterruptedException {
        if (!await(call, CallFaults.Kind.READ_BACK)) {
            return;
        }
        int index = (int) call.queryNumber("num", -1);
        StagedPiece piece;
        IntConsumer action = read -> {};
        synchronized (this) {
            piece = staged.get(index);
            if (readsUntilAction > 0 && --readsUntilAction == 0) {
                action = actionAfterReads;
            }
        }
        action.accept(index);
        call.respond(
                piece == null ? 404 : 200,
                piece == null ? new byte[0] : Arrays.copyOf(piece.data(), piece.data().length));
    }

    private void order(Call call) throws IOException, InterruptedException {
        ObjectNode order = call.jsonBody();
        long arrivedNanos = System.nanoTime();
        listener.orderArrived();
        if (!await(call, CallFaults.Kind.ORDER)) {
            return;
        }
        int status;
        synchronized (this) {
            finishLoad();
            boolean sequenceDiffers =
                    order.has("precondition") && order.path("precondition").asLong() != orderCount;
            if (!order.path("operation").asText().equals("start")) {
                status = 400;
            } else if (sequenceDiffers || !loading.isEmpty()) {
                status = 409;
            } else {
                int from = order.path("from").asInt(0);
                int target = order.path("target").asInt(LAYERS);
                status = take(order.path("version").asLong(), from, target) ? 202 : 200;
            }
            if (status == 202) {
                listener.loadBegun(version, Duration.ofNanos(System.nanoTime() - arrivedNanos));
            }
        }
        call.respond(status, new byte[0]);
    }

    private void answer(Call call) throws IOException, InterruptedException {
        call.body();
        Thread.sleep(answerTime.toMillis());
        if (!await(call, CallFaults.Kind.REQUEST)) {
            return;
        }
        String id = call.header("Masticcroft-Attempt-Id").orElse("");
        long tokenVersion;
        boolean refused;
        synchronized (this) {
            tokenVersion = servedVersion();
            String expected = call.header("Masticcroft-Expect-Version").orElse(Long.toString(tokenVersion));
            refused = tokenVersion == 0 || !expected.equals(Long.toString(tokenVersion));
            if (!refused) {
                listener.tokenMade(id, tokenVersion);
            }
        }
        call.setHeader("Masticcroft-Attempt-Id", id);
        if (refused) {
            call.setHeader("Masticcroft-Not-Executed", "version").respond(421, new byte[0]);
            return;
        }
        call.setHeader("Masticcroft-Response-Signature", "sig")
                .setHeader("Masticcroft-Weight-Versions", Long.toString(tokenVersion))
                .respond(200, "token".getBytes(StandardCharsets.UTF_8));
    }

    /** Keeps the layers in the range that are loaded and takes the others; returns whether that changes anything. */
    private boolean take(long newVersion, int from, int target) {
        Map<Integer, TakenLayer> kept = new HashMap<>(newVersion == version ? layers : Map.of());
        kept.keySet().removeIf(layer -> layer < from || layer >= target);
        Map<Integer, TakenLayer> taken = new HashMap<>();
        Map<Integer, StagedPiece> pieces = Map.copyOf(staged);
        long now = System.nanoTime();
        for (int layer = from; layer < target; layer++) {
            if (!kept.containsKey(layer)) {
                taken.put(layer, new TakenLayer(newVersion, now, pieces));
            }
        }
        if (taken.isEmpty() && kept.size() == layers.size()) {
            return false;
        }
        version = newVersion;
        layers = kept;
        loading = taken;
        loadedNanos = now + loadTime.toNanos() * taken.size() / LAYERS;
        orderCount++;
        if (target - from == LAYERS) {
            loadedVersions.add(version);
        }
        finishLoad();
        return true;
    }

    /** A layer, with the staged pieces of the moment at which it was taken. */
    private record TakenLayer(long version, long takenNanos, Map<Integer, StagedPiece> pieces) {}
}
