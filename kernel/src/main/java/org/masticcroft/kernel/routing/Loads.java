package org.masticcroft.kernel.routing;

import java.util.List;

/** Load estimates and filters that the choosers share. */
final class Loads {
    private Loads() {}

    /**
     * Returns the estimated number of requests in flight. The count of this entry is exact; the reported count includes
     * other entries but may be stale. The larger one is used.
     */
    static int inFlight(UpstreamLoad load) {
        return load.reportAgeMillis() == Long.MAX_VALUE
                ? load.ownInFlight()
                : Math.max(load.ownInFlight(), load.reportedInFlight());
    }

    /** Returns the estimated number of requests in flight per slot. */
    static double inFlightPerSlot(UpstreamLoad load) {
        return (double) inFlight(load) / Math.max(1, load.slots());
    }

    /** Returns the candidates that are not excluded for the request. */
    static List<UpstreamLoad> eligible(RoutingRequest request, List<UpstreamLoad> candidates) {
        return request.excluded().isEmpty()
                ? candidates
                : candidates.stream()
                        .filter(load -> !request.excluded().contains(load.upstream()))
                        .toList();
    }
}
