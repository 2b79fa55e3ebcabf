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
 * @param entries number of entries that subscribe to the load of the engine; 0 if unknown
 * @param memoryUsed share of the memory for requests that is in use, from 0 to 1
 */
public record LoadReport(
        long startMillis,
        int running,
        int queued,
        boolean loading,
        boolean inDoubt,
        OptionalLong servedVersion,
        double pace,
        int entries,
        double memoryUsed) {
    public LoadReport {
        Objects.requireNonNull(servedVersion, "servedVersion");
    }

    /** Creates the report of a sidecar that states neither its subscribers nor the memory in use. */
    public LoadReport(
            long startMillis,
            int running,
            int queued,
            boolean loading,
            boolean inDoubt,
            OptionalLong servedVersion,
            double pace) {
        this(startMillis, running, queued, loading, inDoubt, servedVersion, pace, 0, 0);
    }
}
