package org.masticcroft.gateway.weights;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * What an engine says of itself.
 *
 * @param startMillis start of the process, in milliseconds of Unix time
 * @param running requests that it processes
 * @param queued requests that wait
 * @param ordersBegun number of orders that it has accepted since its start
 * @param busy whether an order is in progress
 * @param model name of the model it serves; empty if none
 * @param loadedVersion version of the weights of all its layers; empty if it has none
 */
public record EngineReport(
        long startMillis,
        int running,
        int queued,
        long ordersBegun,
        boolean busy,
        String model,
        OptionalLong loadedVersion) {
    public EngineReport {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(loadedVersion, "loadedVersion");
    }
}
