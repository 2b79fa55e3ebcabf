package org.masticcroft.entry.upstream;

import java.util.List;
import java.util.Optional;
import org.masticcroft.kernel.routing.UpstreamLoad;

/**
 * Upstreams to which a request can be routed now.
 *
 * @param weights weights that all candidates serve; empty for a plain service
 * @param upstreams routable upstreams with free slots
 * @param served whether any upstream serves the target, whether or not it has free slots
 */
public record RoutingCandidates(Optional<Weights> weights, List<UpstreamLoad> upstreams, boolean served) {
    public RoutingCandidates {
        upstreams = List.copyOf(upstreams);
    }
}
