package org.masticcroft.ports.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.id.WeightsDigest;

/**
 * State that an engine reports about itself.
 *
 * @param incarnation changes with every start of the engine process
 * @param slots number of requests that the engine runs at the same time
 * @param running number of running requests; may be out of date
 * @param queued number of queued requests; may be out of date
 * @param memoryBytes memory for loaded and staged weights in bytes
 * @param fence highest fencing token that the engine has seen
 * @param loaded the loaded weights
 * @param staged the chunks in the staging area
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineState(
        @JsonProperty("incarnation") String incarnation,
        @JsonProperty("slots") int slots,
        @JsonProperty("running") int running,
        @JsonProperty("queued") int queued,
        @JsonProperty("memory_bytes") long memoryBytes,
        @JsonProperty("fence") long fence,
        @JsonProperty("loaded") List<Loaded> loaded,
        @JsonProperty("staged") List<Staged> staged) {
    public EngineState {
        Objects.requireNonNull(incarnation, "incarnation");
        loaded = loaded == null ? List.of() : List.copyOf(loaded);
        staged = staged == null ? List.of() : List.copyOf(staged);
    }

    /** Returns whether the engine reports exactly these weights as loaded. */
    public boolean isLoaded(WeightsDigest digest) {
        return loaded.stream().anyMatch(weights -> weights.digest().equals(digest));
    }

    /** Returns the staged chunks of these weights, if there are any. */
    public Optional<Staged> staged(WeightsDigest digest) {
        return staged.stream()
                .filter(weights -> weights.digest().equals(digest))
                .findFirst();
    }

    /**
     * Loaded weights.
     *
     * @param model name of the model
     * @param version name of the version
     * @param digest digest of the weights
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Loaded(
            @JsonProperty("model") String model,
            @JsonProperty("version") String version,
            @JsonProperty("digest") WeightsDigest digest) {}

    /**
     * Weights in the staging area.
     *
     * @param digest digest of the weights
     * @param chunks indices of the staged chunks
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Staged(
            @JsonProperty("digest") WeightsDigest digest,
            @JsonProperty("chunks") List<Integer> chunks) {
        public Staged {
            chunks = chunks == null ? List.of() : List.copyOf(chunks);
        }
    }
}
