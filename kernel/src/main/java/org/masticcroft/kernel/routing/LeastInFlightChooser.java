package org.masticcroft.kernel.routing;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/** Baseline policy: chooses the candidate with the fewest requests in flight per slot; ties are broken at random. */
public final class LeastInFlightChooser implements UpstreamChooser {
    /** Creates the plug-in; used by the service loader. */
    public LeastInFlightChooser() {}

    @Override
    public String name() {
        return "least-in-flight";
    }

    @Override
    public Optional<Choice> choose(
            RoutingRequest request, List<UpstreamLoad> candidates, UniformRandomProvider random) {
        UpstreamLoad best = null;
        int ties = 0;
        for (UpstreamLoad load : Loads.eligible(request, candidates)) {
            int comparison =
                    best == null ? -1 : Double.compare(Loads.inFlightPerSlot(load), Loads.inFlightPerSlot(best));
            ties = comparison < 0 ? 1 : comparison == 0 ? ties + 1 : ties;
            if (comparison < 0 || comparison == 0 && random.nextInt(ties) == 0) {
                best = load;
            }
        }
        return Optional.ofNullable(best).map(load -> new Choice(load.upstream(), name()));
    }
}
