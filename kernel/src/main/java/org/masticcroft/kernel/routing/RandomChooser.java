package org.masticcroft.kernel.routing;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/** Baseline policy: chooses every candidate with equal probability. */
public final class RandomChooser implements UpstreamChooser {
    /** Creates the plug-in; used by the service loader. */
    public RandomChooser() {}

    @Override
    public String name() {
        return "random";
    }

    @Override
    public Optional<Choice> choose(
            RoutingRequest request, List<UpstreamLoad> candidates, UniformRandomProvider random) {
        List<UpstreamLoad> eligible = Loads.eligible(request, candidates);
        return eligible.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new Choice(eligible.get(random.nextInt(eligible.size())).upstream(), name()));
    }
}
