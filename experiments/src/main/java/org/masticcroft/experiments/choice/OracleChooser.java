package org.masticcroft.experiments.choice;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.experiments.replay.FakeEngine;
import org.masticcroft.kernel.routing.Choice;
import org.masticcroft.kernel.routing.RoutingRequest;
import org.masticcroft.kernel.routing.UpstreamChooser;
import org.masticcroft.kernel.routing.UpstreamLoad;

/**
 * Reference chooser that knows the actual load and cache of every engine. It prefers the least loaded engine that has
 * cached the prefix and is not overloaded, and else takes the least loaded engine.
 */
final class OracleChooser implements UpstreamChooser {
    private static final double MAX_RELATIVE_LOAD = 1.25;

    private final Map<String, FakeEngine> engines;

    OracleChooser(Map<String, FakeEngine> engines) {
        this.engines = engines;
    }

    @Override
    public String name() {
        return "all-knowing";
    }

    @Override
    public Optional<Choice> choose(
            RoutingRequest request, List<UpstreamLoad> candidates, UniformRandomProvider random) {
        List<FakeEngine> live = candidates.stream()
                .filter(load -> !request.excluded().contains(load.upstream()))
                .map(load -> engines.get(load.upstream()))
                .filter(engine -> !engine.isDead())
                .toList();
        double meanInFlight =
                live.stream().mapToInt(FakeEngine::inFlight).average().orElse(0);
        Comparator<FakeEngine> byLoad = Comparator.comparingInt(FakeEngine::inFlight);
        return live.stream()
                .filter(engine -> engine.isCached((int) request.prefixHash()))
                .filter(engine -> engine.inFlight() + 1 <= Math.ceil(MAX_RELATIVE_LOAD * meanInFlight))
                .min(byLoad)
                .or(() -> live.stream().min(byLoad))
                .map(engine -> new Choice(engine.name(), name()));
    }
}
