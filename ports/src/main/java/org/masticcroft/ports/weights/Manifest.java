package org.masticcroft.ports.weights;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.regex.Pattern;
import org.masticcroft.kernel.id.WeightsDigest;

/**
 * Describes the weights of one version of a model as a list of chunks.
 *
 * @param model name of the model
 * @param version name of the version
 * @param size size of the weights in bytes
 * @param chunkSize size of every chunk but the last in bytes
 * @param chunks SHA-256 of each chunk in lower-case hex
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record Manifest(
        @JsonProperty("model") String model,
        @JsonProperty("version") String version,
        @JsonProperty("size") long size,
        @JsonProperty("chunk_size") int chunkSize,
        @JsonProperty("chunks") List<String> chunks) {
    /** Largest chunk in bytes. A chunk with its envelope must fit into one frame of the peer protocol (20 MiB). */
    public static final int MAX_CHUNK_BYTES = 16 << 20;

    private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");

    /** Checks that the sizes and the number of chunks agree. */
    public Manifest {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(version, "version");
        chunks = List.copyOf(chunks);
        if (size <= 0 || chunkSize <= 0 || chunkSize > MAX_CHUNK_BYTES) {
            throw new IllegalArgumentException("manifest with size " + size + " and chunk size " + chunkSize);
        }
        if (chunks.size() != (size + chunkSize - 1) / chunkSize) {
            throw new IllegalArgumentException(
                    "manifest lists " + chunks.size() + " chunks, which does not match size " + size);
        }
        if (!chunks.stream().allMatch(chunk -> SHA256_HEX.matcher(chunk).matches())) {
            throw new IllegalArgumentException("manifest lists a chunk digest that is not SHA-256 in lower-case hex");
        }
    }

    /** Returns the digest of the weights: SHA-256 of the concatenated raw chunk digests. */
    public WeightsDigest digest() {
        MessageDigest sha256 = Sha256.newDigest();
        chunks.forEach(chunk -> sha256.update(HexFormat.of().parseHex(chunk)));
        return WeightsDigest.of("sha256:" + HexFormat.of().formatHex(sha256.digest()));
    }

    public int chunkCount() {
        return chunks.size();
    }

    /** Returns the exact length of a chunk in bytes. */
    public int chunkLength(int index) {
        Objects.checkIndex(index, chunks.size());
        return (int) Math.min(chunkSize, size - (long) index * chunkSize);
    }

    /** Returns whether {@code data} is exactly the chunk at {@code index}. */
    public boolean matches(int index, byte[] data) {
        return data.length == chunkLength(index) && chunks.get(index).equals(Sha256.hex(data));
    }
}
