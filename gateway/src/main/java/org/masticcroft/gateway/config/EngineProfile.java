package org.masticcroft.gateway.config;

import java.util.Objects;

/**
 * Cost model of the engines of a service, as their operator states it.
 *
 * @param model name of the model that the engines serve
 *
 *
 * @param stepsPerPass decoding steps in a pass that writes
 * @param stepMillis duration of a decoding step
 * @param stepMillisPerRequest addition to a step for each request that writes
 * @param readTokensPerMilli prompt tokens that are read in a millisecond
 *
 */
public record EngineProfile(
        String model, int stepsPerPass, double stepMillis, double stepMillisPerRequest, double readTokensPerMilli) {
    public EngineProfile {
        Objects.requireNonNull(model, "model");
    }

    /** Returns the duration in milliseconds of the decoding steps of a pass with this many requests. */
    public double passMillis(int requests) {
        return stepsPerPass * (stepMillis + stepMillisPerRequest * requests);
    }

    /** Returns the time in milliseconds that reading this many prompt tokens takes. */
    public double readMillis(double tokens) {
        return tokens / readTokensPerMilli;
    }
}
