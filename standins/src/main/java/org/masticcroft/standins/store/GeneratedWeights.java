package org.masticcroft.standins.store;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.masticcroft.standins.digest.Sha256;

/** Weights generated from a seed, so that nothing is stored and any process can compute their digest. */
public final class GeneratedWeights {
    private static final long CHUNK_SEED_STEP = 0x9E3779B97F4A7C15L;

    private final String model;
    private final String version;
    private final long sizeBytes;
    private final long seed;
    private final int chunkBytes;
    private List<String> chunkDigests;

    private GeneratedWeights(String model, String version, long sizeBytes, long seed, int chunkBytes) {
        this.model = model;
        this.version = version;
        this.sizeBytes = sizeBytes;
        this.seed = seed;
        this.chunkBytes = chunkBytes;
    }

    /**
     * Parses the form {@code name:version:sizeBytes:seed}.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    public static GeneratedWeights parse(String text, int chunkBytes) {
        String[] parts = text.split(":");
        if (parts.length != 4 || chunkBytes <= 0) {
            throw new IllegalArgumentException("not of the form name:version:sizeBytes:seed: " + text);
        }
        return new GeneratedWeights(parts[0], parts[1], Long.parseLong(parts[2]), Long.parseLong(parts[3]), chunkBytes);
    }

    /** Returns the model name. */
    public String model() {
        return model;
    }

    /** Returns the version. */
    public String version() {
        return version;
    }

    /** Returns the size in bytes. */
    public long sizeBytes() {
        return sizeBytes;
    }

    /** Returns the size in bytes of each chunk except the last, which may be smaller. */
    public int chunkBytes() {
        return chunkBytes;
    }

    /** Returns the number of chunks. */
    public int chunkCount() {
        return (int) ((sizeBytes + chunkBytes - 1) / chunkBytes);
    }

    /** Generates the content of one chunk. */
    public byte[] chunk(int index) {
        byte[] data = new byte[(int) Math.min(chunkBytes, sizeBytes - (long) index * chunkBytes)];
        new SplittableRandom(seed + CHUNK_SEED_STEP * (index + 1)).nextBytes(data);
        return data;
    }

    /** Returns the hex digests of all chunks, in order. */
    public synchronized List<String> chunkDigests() {
        if (chunkDigests == null) {
            List<String> digests = new ArrayList<>();
            for (int i = 0; i < chunkCount(); i++) {
                digests.add(Sha256.hex(chunk(i)));
            }
            chunkDigests = List.copyOf(digests);
        }
        return chunkDigests;
    }

    /** Returns the weights digest. */
    public String digest() {
        return Sha256.weightsDigest(chunkDigests());
    }
}
