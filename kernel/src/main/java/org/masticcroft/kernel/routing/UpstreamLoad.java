package org.masticcroft.kernel.routing;

import java.util.Objects;

/**
 * Load of one routable upstream, as known to an entry.
 *
 * @param upstream name of the upstream
 * @param slots number of requests that the upstream runs concurrently
 * @param ownInFlight number of requests of this entry in flight on the upstream
 * @param reportedInFlight number of requests of all entries in flight, from the last load report
 * @param reportAgeMillis age of the last load report in milliseconds; {@link Long#MAX_VALUE} if there was none
 * @param local whether the upstream is in the region of the entry
 */
public record UpstreamLoad(
        String upstream, int slots, int ownInFlight, int reportedInFlight, long reportAgeMillis, boolean local) {
    public UpstreamLoad {
        Objects.requireNonNull(upstream, "upstream");
    }
}
