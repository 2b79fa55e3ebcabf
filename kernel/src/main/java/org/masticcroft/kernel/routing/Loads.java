package org.masticcroft.kernel.routing;

import java.util.List;

/** Reads the load of candidates. */
final class Loads {
    private Loads() {}

    /** Returns the requests in flight: the own ones are exact, the reported ones include other entries but are old. */
    static int inFlight(UpstreamLoad load) {
        return load.reportAgeMillis() == Long.MAX_VALUE
                ? load.ownInFlight()
                : Math.max(load.ownInFlight(), load.reportedInFlight());
    }

    /** Returns the requests in flight per slot. */
    static double perSlot(UpstreamLoad load) {
        return (double) inFlight(load) / Math.max(1, load.slots());
    }

    /** Returns the candidates that the request may use. */
    static List<UpstreamLoad> permitted(RoutingRequest request, List<UpstreamLoad> candidates) {
        return request.excluded().isEmpty()
                ? candidates
                : candidates.stream()
                        .filter(load -> !request.excluded().contains(load.upstream()))
                        .toList();
    }
}
