package org.masticcroft.kernel.placement;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.masticcroft.kernel.id.WeightsDigest;

/**
 * The current and the target state of one engine, as input of a plan.
 *
 * @param memoryBytes memory for loaded and staged weights, in bytes
 * @param weights the weights that the engine holds or should hold
 */
public record EngineView(long memoryBytes, List<Weights> weights) {
    public EngineView {
        weights = List.copyOf(weights);
    }

    /**
     * One set of weights.
     *
     * @param digest digest of the weights
     * @param sizeBytes size in bytes
     * @param states the states of these weights on the engine; several may apply at once
     */
    public record Weights(WeightsDigest digest, long sizeBytes, Set<State> states) {
        public Weights {
            Objects.requireNonNull(digest, "digest");
            states = Set.copyOf(states);
        }
    }

    /** State of weights on an engine. */
    public enum State {
        /** The configuration in force assigns these weights to this engine. */
        WANTED,
        /** All chunks are staged and verified. */
        STAGED,
        /** Some chunks are staged. */
        PARTLY_STAGED,
        /** The engine reports these weights as loaded. */
        LOADED,
        /** Requests that use these weights are running. */
        IN_USE
    }
}
