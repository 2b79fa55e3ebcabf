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
import org.masticcroft.standins.time.Lagging;

/** A model engine over HTTP. */
public final class EngineStandIn {
    /**
     * Switches: generation hangs; all requests are refused; commands fail; the next staged chunks are stored corrupted;
     * the next load fails for lack of memory; a stream breaks after some tokens (0 for never) or without its end; times
     * for the first and for each token (-1 keeps the configured ones).
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

    private static final int LEDGER_BOUND = 20_000;
    private static final long DEFAULT_PAGE = 1_000;

    private record Load(int running, int waiting) {}

    private final EngineSettings settings;
    private final Faults faults;
    private final String incarnation = UUID.randomUUID().toString();
    private final WeightsMemory memory;
    private final Lagging<Load> load;
    private final CacheEvents events;
    private final PrefixCache cache;
    private final RunningRequests requests = RunningRequests.empty();
    private final Ledger ledger = Ledger.of(LEDGER_BOUND);
    private final CompletionHandler completions;
    private long fence;
    private String role = "serve";

    private EngineStandIn(EngineSettings settings, Faults faults, long seed) {
        this.settings = settings;
        this.faults = faults;
        this.memory = WeightsMemory.of(settings.memoryBytes(), settings.verifyLoad());
        this.load = Lagging.of(new Load(0, 0), settings::reportLagMillis, System::currentTimeMillis);
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
                .route("POST", "/v1/chat/completions", engine.named(engine.completions::complete))
                .route("POST", "/v1/requests/{id}/cancel", engine.named(engine::cancel))
                .route("GET", "/ledger", engine::readLedger)
                .route("GET", "/admin/state", engine.command(engine::state))
                .route("GET", "/admin/events", engine.command(engine::readEvents))
                .route("PUT", "/admin/weights/{digest}/chunks/{index}", engine.command(engine::putChunk))
                .route("GET", "/admin/weights/{digest}/chunks/{index}", engine.command(engine::getChunk))
                .route("DELETE", "/admin/weights/{digest}", engine.command(engine::dropStaged))
                .route("POST", "/admin/load", engine.command(engine::load))
                .route("POST", "/admin/unload", engine.command(engine::unload))
                .route("POST", "/admin/role", engine.command(engine::changeRole))
                .route("GET", "/kv/{key}", engine.named(engine::getKv))
                .route("PUT", "/kv/{key}", engine.named(engine::putKv));
    }

    private Handler named(Handler handler) {
        return call -> handler.handle(call.set("X-Engine-Incarnation", incarnation));
    }

    private Handler command(Handler handler) {
        return named(call -> {
            if (faults.isOn("admin_down")) {
                throw HttpFailure.of(503, "down", "commands are down");
            }
            handler.handle(call);
        });
    }

    private void cancel(Call call) throws IOException {
        call.body();
        call.respond(200, Json.object().put("cancelled", requests.cancel(call.path("id"))));
    }

    private void readLedger(Call call) throws IOException {
        call.respond(200, ledger.read(call.queryNumber("from", 0), call.queryNumber("max", DEFAULT_PAGE)));
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
        memory.describe(state);
        call.respond(200, state);
    }

    private void readEvents(Call call) throws IOException {
        call.respond(200, events.read(call.queryNumber("from", 0)));
    }

    private void putChunk(Call call) throws IOException {
        byte[] data = call.body();
        if (data.length > 0 && faults.take("corrupt_next_chunks")) {
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
        call.set("Content-Type", "application/octet-stream");
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
        WeightsMemory.Result result = faults.take("fail_next_loads")
                ? WeightsMemory.Result.OUT_OF_MEMORY
                : memory.load(
                        body.path("model").asText(),
                        body.path("version").asText(),
                        body.path("digest").asText(),
                        chunks);
        switch (result) {
            case INCOMPLETE -> call.respondError(422, "incomplete", "chunks are missing or differ");
            case OUT_OF_MEMORY -> call.respondError(507, "out_of_memory", "not enough memory");
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
        call.set("Content-Type", "application/octet-stream");
        call.respond(200, PrefixCache.content(call.path("key")));
    }

    private void putKv(Call call) throws IOException {
        if (!cache.put(call.path("key"), call.body())) {
            throw HttpFailure.of(422, "corrupt", "content does not belong to the key");
        }
        call.respond(200, Json.object());
    }

    private synchronized void checkFence(ObjectNode body) {
        long token = body.path("fence").asLong(0);
        if (settings.fencingHonoured() && token < fence) {
            throw HttpFailure.of(409, "fence_rejected", "token " + token + " is older than " + fence);
        }
        fence = Math.max(fence, token);
    }

    private ObjectNode loaded() {
        ObjectNode state = Json.object();
        memory.describe(state);
        ObjectNode reply = Json.object();
        reply.set("loaded", state.get("loaded"));
        return reply;
    }

    private synchronized long fence() {
        return fence;
    }

    private synchronized String role() {
        return role;
    }

    private JsonNode stats() {
        ObjectNode stats = Json.object().put("incarnation", incarnation).put("executed", ledger.size());
        Load now = load.newest();
        stats.put("running", now.running()).put("queued", now.waiting());
        completions.describe(stats);
        return stats;
    }
}
