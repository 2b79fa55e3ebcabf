package org.masticcroft.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.Call;
import org.masticcroft.standins.http.Handler;
import org.masticcroft.standins.http.HttpFailure;
import org.masticcroft.standins.http.Json;
import org.masticcroft.standins.http.StandInServer;
import org.masticcroft.standins.ledger.Ledger;
import org.masticcroft.standins.ledger.LedgerWriter;
import org.masticcroft.standins.time.LaggedValue;

/** HTTP stand-in of a model engine: completions, admin commands for weights, prefix cache blocks and its ledger. */
public final class EngineStandIn {
    /**
     * Fault switches with their values when off:
     *
     * <ul>
     *   <li>{@code hang}: token generation hangs while it is on
     *   <li>{@code overload}: all completions are refused with 503
     *   <li>{@code admin_down}: all admin commands are refused with 503
     *   <li>{@code corrupt_next_chunks}: number of next staged chunks that are stored corrupted
     *   <li>{@code fail_next_loads}: number of next loads that fail for lack of memory
     *   <li>{@code drop_after_tokens}: number of tokens after which the connection is dropped; 0 for never
     *   <li>{@code drop_next_ends}: number of next answers whose connection is dropped before the end of the answer
     *   <li>{@code first_token_ms}, {@code token_ms}: time to the first token and for each token; -1 keeps the
     *       configured one
     * </ul>
     */
    public static final Map<String, Object> FAULTS = Map.of(
            "hang", false,
            "overload", false,
            "admin_down", false,
            "corrupt_next_chunks", 0L,
            "fail_next_loads", 0L,
            "drop_after_tokens", 0L,
            "drop_next_ends", 0L,
            "first_token_ms", -1L,
            "token_ms", -1L);

    private static final int MAX_LEDGER_ENTRIES = 20_000;
    private static final long DEFAULT_PAGE_SIZE = 1_000;

    private record Load(int running, int waiting) {}

    private final EngineSettings settings;
    private final Faults faults;
    private final String incarnation = UUID.randomUUID().toString();
    private final WeightsMemory memory;
    private final LaggedValue<Load> load;
    private final CacheEvents events;
    private final PrefixCache cache;
    private final RunningRequests requests = RunningRequests.empty();
    private final Ledger ledger = Ledger.of(MAX_LEDGER_ENTRIES);
    private final CompletionHandler completions;
    private long highestFence;
    private String role = "serve";

    private EngineStandIn(EngineSettings settings, Faults faults, long seed) {
        this.settings = settings;
        this.faults = faults;
        this.memory = WeightsMemory.of(settings.memoryBytes(), settings.verifyLoad());
        this.load = LaggedValue.of(new Load(0, 0), settings::reportLagMillis, System::currentTimeMillis);
        this.events = CacheEvents.of(
                settings.cacheEventLagMillis(), settings.cacheEventLoss(), seed, System::currentTimeMillis);
        this.cache = PrefixCache.of(settings.cacheBlocks(), events);
        SlotQueue slots = SlotQueue.of(
                settings.slots(), settings.queue(), (running, waiting) -> load.set(new Load(running, waiting)));
        this.completions = CompletionHandler.of(
                settings,
                incarnation,
                faults,
                memory,
                slots,
                cache,
                requests,
                LedgerWriter.of(ledger, settings.ledgerUrl()));
    }

    /** Creates the server; it is not yet started. */
    public static StandInServer server(int port, EngineSettings settings, Faults faults, long seed) {
        EngineStandIn engine = new EngineStandIn(settings, faults, seed);
        return StandInServer.of(port, faults, engine::stats)
                .route("POST", "/v1/chat/completions", engine.withIncarnation(engine.completions::complete))
                .route("POST", "/v1/requests/{id}/cancel", engine.withIncarnation(engine::cancel))
                .route("GET", "/ledger", engine::readLedger)
                .route("GET", "/admin/state", engine.adminCommand(engine::state))
                .route("GET", "/admin/events", engine.adminCommand(engine::readEvents))
                .route("PUT", "/admin/weights/{digest}/chunks/{index}", engine.adminCommand(engine::putChunk))
                .route("GET", "/admin/weights/{digest}/chunks/{index}", engine.adminCommand(engine::getChunk))
                .route("DELETE", "/admin/weights/{digest}", engine.adminCommand(engine::dropStaged))
                .route("POST", "/admin/load", engine.adminCommand(engine::load))
                .route("POST", "/admin/unload", engine.adminCommand(engine::unload))
                .route("POST", "/admin/role", engine.adminCommand(engine::changeRole))
                .route("GET", "/kv/{key}", engine.withIncarnation(engine::getKv))
                .route("PUT", "/kv/{key}", engine.withIncarnation(engine::putKv));
    }

    private Handler withIncarnation(Handler handler) {
        return call -> handler.handle(call.setHeader("X-Engine-Incarnation", incarnation));
    }

    private Handler adminCommand(Handler handler) {
        return withIncarnation(call -> {
            if (faults.isOn("admin_down")) {
                throw HttpFailure.of(503, "down", "admin commands are disabled by the fault switch admin_down");
            }
            handler.handle(call);
        });
    }

    private void cancel(Call call) throws IOException {
        call.body();
        call.respond(200, Json.object().put("cancelled", requests.cancel(call.path("id"))));
    }

    private void readLedger(Call call) throws IOException {
        call.respond(200, ledger.read(call.queryNumber("from", 0), call.queryNumber("max", DEFAULT_PAGE_SIZE)));
    }

    private void state(Call call) throws IOException {
        Load visible = load.visible();
        ObjectNode state = Json.object()
                .put("incarnation", incarnation)
                .put("role", role())
                .put("slots", settings.slots())
                .put("running", visible.running())
                .put("queued", visible.waiting())
                .put("fence", fence());
        memory.addState(state);
        call.respond(200, state);
    }

    private void readEvents(Call call) throws IOException {
        call.respond(200, events.read(call.queryNumber("from", 0)));
    }

    private void putChunk(Call call) throws IOException {
        byte[] data = call.body();
        if (data.length > 0 && faults.consume("corrupt_next_chunks")) {
            data[data.length / 2] ^= 1;
        }
        Optional<String> stored = memory.stage(call.path("digest"), call.pathNumber("index"), data);
        call.respond(
                200,
                Json.object()
                        .put(
                                "sha256",
                                stored.orElseThrow(
                                        () -> HttpFailure.of(507, "out_of_memory", "staging area is full"))));
    }

    private void getChunk(Call call) throws IOException {
        call.setHeader("Content-Type", "application/octet-stream");
        call.respond(
                200,
                memory.chunk(call.path("digest"), call.pathNumber("index"))
                        .orElseThrow(() -> HttpFailure.of(404, "not_found", "chunk is not staged")));
    }

    private void dropStaged(Call call) throws IOException {
        memory.dropStaged(call.path("digest"));
        call.respond(200, Json.object());
    }

    private void load(Call call) throws IOException, InterruptedException {
        ObjectNode body = call.jsonBody();
        checkFence(body);
        TimeUnit.MILLISECONDS.sleep(settings.loadMillis());
        List<String> chunks = new ArrayList<>();
        body.path("chunks").forEach(chunk -> chunks.add(chunk.asText()));
        WeightsMemory.Result result = faults.consume("fail_next_loads")
                ? WeightsMemory.Result.OUT_OF_MEMORY
                : memory.load(
                        body.path("model").asText(),
                        body.path("version").asText(),
                        body.path("digest").asText(),
                        chunks);
        switch (result) {
            case INCOMPLETE ->
                call.respondError(422, "incomplete", "chunks are missing or differ from the named digests");
            case OUT_OF_MEMORY -> call.respondError(507, "out_of_memory", "not enough memory to load the weights");
            default -> call.respond(200, loaded());
        }
    }

    private void unload(Call call) throws IOException {
        ObjectNode body = call.jsonBody();
        checkFence(body);
        memory.unload(body.path("digest").asText());
        call.respond(200, loaded());
    }

    private void changeRole(Call call) throws IOException {
        ObjectNode body = call.jsonBody();
        checkFence(body);
        synchronized (this) {
            role = body.path("role").asText();
        }
        call.respond(200, Json.object().put("role", role()));
    }

    private void getKv(Call call) throws IOException {
        if (!cache.contains(call.path("key"))) {
            throw HttpFailure.of(404, "not_found", "block is not cached");
        }
        call.setHeader("Content-Type", "application/octet-stream");
        call.respond(200, PrefixCache.content(call.path("key")));
    }

    private void putKv(Call call) throws IOException {
        if (!cache.put(call.path("key"), call.body())) {
            throw HttpFailure.of(422, "corrupt", "content does not match the key");
        }
        call.respond(200, Json.object());
    }

    private synchronized void checkFence(ObjectNode body) {
        long token = body.path("fence").asLong(0);
        if (settings.fencingHonoured() && token < highestFence) {
            throw HttpFailure.of(409, "fence_rejected", "fencing token " + token + " is older than " + highestFence);
        }
        highestFence = Math.max(highestFence, token);
    }

    private ObjectNode loaded() {
        ObjectNode state = Json.object();
        memory.addState(state);
        ObjectNode reply = Json.object();
        reply.set("loaded", state.get("loaded"));
        return reply;
    }

    private synchronized long fence() {
        return highestFence;
    }

    private synchronized String role() {
        return role;
    }

    private JsonNode stats() {
        ObjectNode stats = Json.object().put("incarnation", incarnation).put("executed", ledger.size());
        Load now = load.newest();
        stats.put("running", now.running()).put("queued", now.waiting());
        completions.addStats(stats);
        return stats;
    }
}
