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

/** HTTP stand-in of the weight store or of the origin of weights. */
public final class StoreStandIn {
    /**
     * Fault switches with their values when off:
     *
     * <ul>
     *   <li>{@code down}: all calls are refused with 503
     *   <li>{@code slow_ms}: added delay of each call
     *   <li>{@code bytes_per_second}: rate of all downloads together; 0 keeps the configured one
     *   <li>{@code stall}: downloads of chunks stall in the middle while it is on
     *   <li>{@code corrupt_chunk}: index of the chunk that is sent with a flipped bit; -1 for none
     *   <li>{@code corrupt_probability}: probability that a chunk is sent with a flipped bit
     * </ul>
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
    private long bytesSent;
    private long corruptedChunks;
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
        GeneratedWeights found = findWeights(call);
        countRead(found, "manifest", 0);
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
        GeneratedWeights found = findWeights(call);
        int index = call.pathNumber("index");
        if (index < 0 || index >= found.chunkCount()) {
            throw HttpFailure.of(404, "not_found", "no chunk " + index);
        }
        byte[] data = found.chunk(index);
        if (index == faults.number("corrupt_chunk") || faults.occurs("corrupt_probability")) {
            data[data.length / 2] ^= 1;
            countCorrupted();
        }
        call.setHeader("Content-Type", "application/octet-stream");
        try (OutputStream out = call.respond(200, data.length)) {
            int firstHalf = data.length / 2;
            pacer.write(out, data, 0, firstHalf);
            while (faults.isOn("stall")) {
                TimeUnit.MILLISECONDS.sleep(STALL_CHECK_MILLIS);
            }
            pacer.write(out, data, firstHalf, data.length - firstHalf);
        }
        countRead(found, "chunk", data.length);
    }

    private GeneratedWeights findWeights(Call call) throws InterruptedException {
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

    private synchronized void countRead(GeneratedWeights weightsRead, String kind, int length) {
        if (kind.equals("manifest")) {
            manifestReads++;
        } else {
            chunkReads.merge(weightsRead.model() + ":" + weightsRead.version(), 1L, Long::sum);
            bytesSent += length;
        }
    }

    private synchronized void countCorrupted() {
        corruptedChunks++;
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
                .put("bytes", bytesSent)
                .put("corrupted", corruptedChunks)
                .put("refusals", refusals);
        ObjectNode byModel = stats.putObject("chunk_reads_by_model");
        chunkReads.forEach(byModel::put);
        return stats;
    }
}
