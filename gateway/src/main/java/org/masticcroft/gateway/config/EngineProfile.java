package org.masticcroft.gateway.config;

import java.util.Objects;

/**
 * Cost model of the engines of a service, as configured by the operator.
 *
 * @param model name of the model that the engines serve
 * @param stepsPerPass number of decoding steps in a pass that generates tokens
 * @param stepMillis base duration of a decoding step, in milliseconds
 * @param stepMillisPerRequest additional duration of a decoding step for each request that generates tokens, in
 *     milliseconds
 * @param prefillTokensPerMilli number of prompt tokens that an engine prefills in a millisecond
 */
public record EngineProfile(
        String model, int stepsPerPass, double stepMillis, double stepMillisPerRequest, double prefillTokensPerMilli) {
    public EngineProfile {
        Objects.requireNonNull(model, "model");
    }

    /** Returns the duration of the decoding steps of one pass with the given number of requests, in milliseconds. */
    public double passMillis(int requests) {
        return stepsPerPass * (stepMillis + stepMillisPerRequest * requests);
    }

    /** Returns the duration of the prefill of the given number of prompt tokens, in milliseconds. */
    public double prefillMillis(double tokens) {
        return tokens / prefillTokensPerMilli;
    }
}
