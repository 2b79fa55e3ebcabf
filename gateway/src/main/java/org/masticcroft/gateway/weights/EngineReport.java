package org.masticcroft.gateway.weights;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Status that an engine reports about itself.
 *
 * @param startMillis start of the process, in milliseconds of Unix time
 * @param running requests in execution
 * @param queued requests that wait in its queue
 * @param ordersBegun number of orders that the engine has accepted since its start
 * @param busy whether an order is in progress
 * @param model name of the model that it serves; an empty string if none
 * @param loadedVersion version of the weights loaded in all layers; empty if none is loaded
 * @param loadedLayers layers that are loaded, of whichever version
 * @param pace factor by which the engine is slower than its cost model; 1 if it states none
 * @param memoryUsed share of the memory for requests that is in use, from 0 to 1; 0 if it states none
 */
public record EngineReport(
        long startMillis,
        int running,
        int queued,
        long ordersBegun,
        boolean busy,
        String model,
        OptionalLong loadedVersion,
        LayerRange loadedLayers,
        double pace,
        double memoryUsed) {
    public EngineReport {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(loadedVersion, "loadedVersion");
        Objects.requireNonNull(loadedLayers, "loadedLayers");
    }

    /** Creates the report of an engine that does not state its memory. */
    public EngineReport(
            long startMillis,
            int running,
            int queued,
            long ordersBegun,
            boolean busy,
            String model,
            OptionalLong loadedVersion,
            LayerRange loadedLayers,
            double pace) {
        this(startMillis, running, queued, ordersBegun, busy, model, loadedVersion, loadedLayers, pace, 0);
    }
}
