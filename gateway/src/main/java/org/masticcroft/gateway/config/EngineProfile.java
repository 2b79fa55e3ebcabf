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
 * @param memoryTokens prompt and output tokens of the requests that an engine can hold; 0 if unknown
 */
public record EngineProfile(
        String model,
        int stepsPerPass,
        double stepMillis,
        double stepMillisPerRequest,
        double prefillTokensPerMilli,
        long memoryTokens) {
    /** Rejects a missing name. */
    public EngineProfile {
        Objects.requireNonNull(model, "model");
    }

    /** Creates the cost model of engines whose memory is unknown. */
    public EngineProfile(
            String model,
            int stepsPerPass,
            double stepMillis,
            double stepMillisPerRequest,
            double prefillTokensPerMilli) {
        this(model, stepsPerPass, stepMillis, stepMillisPerRequest, prefillTokensPerMilli, 0);
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
