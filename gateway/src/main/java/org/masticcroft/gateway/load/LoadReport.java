package org.masticcroft.gateway.load;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Load of an engine, as its sidecar last read it.
 *
 * @param startMillis start of the engine, in milliseconds of Unix time
 * @param running requests in execution
 * @param queued requests that wait in the queue of the engine
 * @param loading whether the engine is loading weights or its load is in doubt, so that it must get no new requests
 * @param inDoubt whether it may have taken unsound weights
 * @param servedVersion version of the weights that the engine serves; empty if none
 * @param pace factor by which the engine is slower than its cost model, 1 or more
 */
public record LoadReport(
        long startMillis,
        int running,
        int queued,
        boolean loading,
        boolean inDoubt,
        OptionalLong servedVersion,
        double pace) {
    public LoadReport {
        Objects.requireNonNull(servedVersion, "servedVersion");
    }
}
