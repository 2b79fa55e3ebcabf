package org.masticcroft.entry.upstream;

import java.util.List;
import java.util.Optional;
import org.masticcroft.kernel.routing.UpstreamLoad;

/**
 * Upstreams that a request could go to now.
 *
 * @param weights weights that all candidates serve; empty for a plain service
 * @param upstreams routable upstreams with room
 * @param served whether any upstream serves the target, with room or not
 */
public record RoutingCandidates(Optional<Weights> weights, List<UpstreamLoad> upstreams, boolean served) {
    public RoutingCandidates {
        upstreams = List.copyOf(upstreams);
    }
}
