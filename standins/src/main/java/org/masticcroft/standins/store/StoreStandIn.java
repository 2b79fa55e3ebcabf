package org.masticcroft.standins.store;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.Call;
import org.masticcroft.standins.http.HttpFailure;
import org.masticcroft.standins.http.Json;
import org.masticcroft.standins.http.StandInServer;
import org.masticcroft.standins.time.Pacer;

/** The weight store, or the origin of weights, over HTTP. */
public final class StoreStandIn {
    /**
     * Switches: refusing all calls, added delay, a lower rate (0 keeps the configured one), stalling in the middle of a
     * chunk, and flipping a byte of one chunk (-1 for none) or of any chunk with a probability.
     */
    public static final Map<String, Object> FAULTS = Map.of(
            "down",
            false,
            "slow_ms",
            0L,
            "bytes_per_second",
            0L,
            "stall",
            false,
            "corrupt_chunk",
            -1L,
            "corrupt_probability",
            0.0);

    private static final long STALL_CHECK_MILLIS = 50;

    private final Map<String, GeneratedWeights> weights = new LinkedHashMap<>();
    private final Map<String, Long> chunkReads = new TreeMap<>();
    private final Faults faults;
    private final Pacer pacer;
    private long manifestReads;
    private long bytes;
    private long corrupted;
    private long refusals;

    private StoreStandIn(List<GeneratedWeights> weights, long bytesPerSecond, Faults faults) {
        weights.forEach(each -> this.weights.put(each.model() + ":" + each.version(), each));
        this.faults = faults;
        this.pacer = Pacer.of(
                () -> faults.number("bytes_per_second") > 0 ? faults.number("bytes_per_second") : bytesPerSecond,
                System::nanoTime);
    }

    /** Creates the server; it is not yet started. A rate of 0 means no limit. */
    public static StandInServer server(int port, List<GeneratedWeights> weights, long bytesPerSecond, Faults faults) {
        StoreStandIn store = new StoreStandIn(weights, bytesPerSecond, faults);
        return StandInServer.of(port, faults, store::stats)
                .route("GET", "/weights/{model}/{version}/manifest", store::manifest)
                .route("GET", "/weights/{model}/{version}/chunks/{index}", store::chunk);
    }

    private void manifest(Call call) throws IOException, InterruptedException {
        GeneratedWeights found = find(call);
        count(found, "manifest", 0);
        ObjectNode json = Json.object()
                .put("model", found.model())
                .put("version", found.version())
                .put("size", found.sizeBytes())
                .put("chunk_size", found.chunkBytes());
        ArrayNode chunks = json.putArray("chunks");
        found.chunkDigests().forEach(chunks::add);
        call.respond(200, json);
    }

    private void chunk(Call call) throws IOException, InterruptedException {
        GeneratedWeights found = find(call);
        int index = call.pathNumber("index");
        if (index < 0 || index >= found.chunkCount()) {
            throw HttpFailure.of(404, "not_found", "no chunk " + index);
        }
        byte[] data = found.chunk(index);
        if (index == faults.number("corrupt_chunk") || faults.strikes("corrupt_probability")) {
            data[data.length / 2] ^= 1;
            countCorrupted();
        }
        call.set("Content-Type", "application/octet-stream");
        try (OutputStream out = call.respond(200, data.length)) {
            int half = data.length / 2;
            pacer.write(out, data, 0, half);
            while (faults.isOn("stall")) {
                TimeUnit.MILLISECONDS.sleep(STALL_CHECK_MILLIS);
            }
            pacer.write(out, data, half, data.length - half);
        }
        count(found, "chunk", data.length);
    }

    private GeneratedWeights find(Call call) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(faults.number("slow_ms"));
        if (faults.isOn("down")) {
            countRefusal();
            throw HttpFailure.of(503, "down", "the store is down");
        }
        GeneratedWeights found = weights.get(call.path("model") + ":" + call.path("version"));
        if (found == null) {
            throw HttpFailure.of(404, "not_found", "no such model or version");
        }
        return found;
    }

    private synchronized void count(GeneratedWeights read, String kind, int length) {
        if (kind.equals("manifest")) {
            manifestReads++;
        } else {
            chunkReads.merge(read.model() + ":" + read.version(), 1L, Long::sum);
            bytes += length;
        }
    }

    private synchronized void countCorrupted() {
        corrupted++;
    }

    private synchronized void countRefusal() {
        refusals++;
    }

    private synchronized ObjectNode stats() {
        ObjectNode stats = Json.object()
                .put("manifest_reads", manifestReads)
                .put(
                        "chunk_reads",
                        chunkReads.values().stream().mapToLong(Long::longValue).sum())
                .put("bytes", bytes)
                .put("corrupted", corrupted)
                .put("refusals", refusals);
        ObjectNode byModel = stats.putObject("chunk_reads_by_model");
        chunkReads.forEach(byModel::put);
        return stats;
    }
}
