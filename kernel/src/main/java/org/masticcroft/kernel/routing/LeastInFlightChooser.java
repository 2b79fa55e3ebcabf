package org.masticcroft.kernel.routing;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/** Baseline: the candidate with the fewest known requests per slot; ties are broken at random. */
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
        for (UpstreamLoad load : Loads.permitted(request, candidates)) {
            int order = best == null ? -1 : Double.compare(Loads.perSlot(load), Loads.perSlot(best));
            ties = order < 0 ? 1 : order == 0 ? ties + 1 : ties;
            if (order < 0 || order == 0 && random.nextInt(ties) == 0) {
                best = load;
            }
        }
        return Optional.ofNullable(best).map(load -> new Choice(load.upstream(), name()));
    }
}
