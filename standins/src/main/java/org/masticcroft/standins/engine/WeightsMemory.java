package org.masticcroft.standins.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.masticcroft.standins.digest.Sha256;

/** Staged chunks and loaded weights within one memory limit. Weights that are both staged and loaded count once. */
final class WeightsMemory {
    /** Result of a load. */
    enum Result {
        DONE,
        INCOMPLETE,
        OUT_OF_MEMORY
    }

    private record Chunk(byte[] data, String sha256) {}

    private record Loaded(String model, String version, long bytes) {}

    private final Map<String, TreeMap<Integer, Chunk>> staged = new TreeMap<>();
    private final Map<String, Loaded> loaded = new TreeMap<>();
    private final long capacityBytes;
    private final boolean verifyLoad;

    private WeightsMemory(long capacityBytes, boolean verifyLoad) {
        this.capacityBytes = capacityBytes;
        this.verifyLoad = verifyLoad;
    }

    static WeightsMemory of(long capacityBytes, boolean verifyLoad) {
        return new WeightsMemory(capacityBytes, verifyLoad);
    }

    /** Stores a chunk and returns the digest of the stored bytes, or nothing if the memory limit is reached. */
    synchronized Optional<String> stage(String digest, int index, byte[] data) {
        TreeMap<Integer, Chunk> chunks = staged.getOrDefault(digest, new TreeMap<>());
        Chunk previous = chunks.get(index);
        long additionalBytes = data.length - (previous == null ? 0 : previous.data().length);
        if (!loaded.containsKey(digest) && usedBytes() + additionalBytes > capacityBytes) {
            return Optional.empty();
        }
        Chunk chunk = new Chunk(data, Sha256.hex(data));
        chunks.put(index, chunk);
        staged.put(digest, chunks);
        return Optional.of(chunk.sha256());
    }

    synchronized Optional<byte[]> chunk(String digest, int index) {
        return Optional.ofNullable(staged.getOrDefault(digest, new TreeMap<>()).get(index))
                .map(Chunk::data);
    }

    synchronized void dropStaged(String digest) {
        staged.remove(digest);
    }

    /**
     * Loads staged weights. Without verification, the weights are registered under the digest of the staged chunks,
     * which may differ from the digest that the command named.
     */
    synchronized Result load(String model, String version, String digest, List<String> chunkDigests) {
        if (loaded.containsKey(digest)) {
            return Result.DONE;
        }
        TreeMap<Integer, Chunk> chunks = staged.getOrDefault(digest, new TreeMap<>());
        List<String> actual = new ArrayList<>();
        long bytes = 0;
        for (int i = 0; i < chunkDigests.size(); i++) {
            Chunk chunk = chunks.get(i);
            if (chunk == null) {
                return Result.INCOMPLETE;
            }
            actual.add(chunk.sha256());
            bytes += chunk.data().length;
        }
        String actualDigest = Sha256.weightsDigest(actual);
        if (verifyLoad && !(actual.equals(chunkDigests) && actualDigest.equals(digest))) {
            return Result.INCOMPLETE;
        }
        loaded.put(actualDigest, new Loaded(model, version, bytes));
        if (usedBytes() > capacityBytes) {
            loaded.remove(actualDigest);
            return Result.OUT_OF_MEMORY;
        }
        return Result.DONE;
    }

    synchronized void unload(String digest) {
        loaded.remove(digest);
    }

    synchronized boolean isLoaded(String digest) {
        return loaded.containsKey(digest);
    }

    /** Adds the memory use and the loaded and staged weights to the state report. */
    synchronized void addState(ObjectNode state) {
        state.put("memory_bytes", capacityBytes).put("memory_used_bytes", usedBytes());
        ArrayNode loadedList = state.putArray("loaded");
        loaded.forEach((digest, weights) -> loadedList
                .addObject()
                .put("model", weights.model())
                .put("version", weights.version())
                .put("digest", digest));
        ArrayNode stagedList = state.putArray("staged");
        staged.forEach((digest, chunks) -> {
            ArrayNode indices = stagedList.addObject().put("digest", digest).putArray("chunks");
            chunks.keySet().forEach(indices::add);
        });
    }

    private long usedBytes() {
        Set<String> digests = new HashSet<>(staged.keySet());
        digests.addAll(loaded.keySet());
        return digests.stream().mapToLong(this::usedBytes).sum();
    }

    private long usedBytes(String digest) {
        long stagedBytes = staged.getOrDefault(digest, new TreeMap<>()).values().stream()
                .mapToLong(chunk -> chunk.data().length)
                .sum();
        Loaded weights = loaded.get(digest);
        return Math.max(stagedBytes, weights == null ? 0 : weights.bytes());
    }
}
