package org.masticcroft.entry.policy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.kernel.routing.Choice;
import org.masticcroft.kernel.routing.RoutingRequest;
import org.masticcroft.kernel.routing.UpstreamChooser;
import org.masticcroft.kernel.routing.UpstreamLoad;

/** Fallback chooser: the upstream with the fewest in-flight requests of this entry. */
final class LeastLoadedChooser implements UpstreamChooser {
    @Override
    public String name() {
        return "entry-least-loaded";
    }

    @Override
    public Optional<Choice> choose(
            RoutingRequest request, List<UpstreamLoad> candidates, UniformRandomProvider random) {
        return candidates.stream()
                .filter(candidate -> !request.excluded().contains(candidate.upstream()))
                .min(Comparator.comparingInt(UpstreamLoad::ownInFlight))
                .map(candidate -> new Choice(candidate.upstream(), "least-loaded"));
    }
}
