package org.masticcroft.gateway.load;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Load of an engine as the process beside it read it.
 *
 * @param startMillis start of the engine, in milliseconds of Unix time
 * @param running requests that the engine processes
 * @param queued requests that wait in the engine
 * @param loading whether the engine loads weights and accepts nothing new
 * @param servedVersion version of the weights that it serves; empty if it serves none
 */
public record LoadReport(long startMillis, int running, int queued, boolean loading, OptionalLong servedVersion) {
    public LoadReport {
        Objects.requireNonNull(servedVersion, "servedVersion");
    }
}
