package org.masticcroft.kernel.routing;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.kernel.plugin.Plugin;

/** Chooses the upstream for a request. Implementations are stateless and safe for use by many threads. */
public interface UpstreamChooser extends Plugin {
    /**
     * Chooses one of the candidates.
     *
     * @param request the request
     * @param candidates upstreams that are ready, not draining and not blocked by a circuit breaker
     * @param random source of randomness
     * @return the choice, or empty if every candidate is excluded
     */
    Optional<Choice> choose(RoutingRequest request, List<UpstreamLoad> candidates, UniformRandomProvider random);
}
