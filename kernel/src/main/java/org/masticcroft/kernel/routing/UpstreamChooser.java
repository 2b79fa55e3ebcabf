package org.masticcroft.kernel.routing;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.kernel.plugin.Plugin;

/** Chooses the upstream for a request. Implementations are stateless and thread-safe. */
public interface UpstreamChooser extends Plugin {
    /**
     * Chooses one of the candidates.
     *
     * @param request the request
     * @param candidates upstreams that are ready, not draining and not blocked by a circuit breaker
     * @param random random number generator
     * @return the chosen upstream, or empty if all candidates are excluded
     */
    Optional<Choice> choose(RoutingRequest request, List<UpstreamLoad> candidates, UniformRandomProvider random);
}
