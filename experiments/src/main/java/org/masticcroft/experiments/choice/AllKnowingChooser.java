package org.masticcroft.experiments.choice;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.experiments.replay.EngineFake;
import org.masticcroft.kernel.routing.Choice;
import org.masticcroft.kernel.routing.RoutingRequest;
import org.masticcroft.kernel.routing.UpstreamChooser;
import org.masticcroft.kernel.routing.UpstreamLoad;

/** Yardstick: knows the true load and cache of every engine, and takes the least loaded one with the prefix. */
final class AllKnowingChooser implements UpstreamChooser {
    private static final double LOAD_BOUND = 1.25;

    private final Map<String, EngineFake> engines;

    AllKnowingChooser(Map<String, EngineFake> engines) {
        this.engines = engines;
    }

    @Override
    public String name() {
        return "all-knowing";
    }

    @Override
    public Optional<Choice> choose(
            RoutingRequest request, List<UpstreamLoad> candidates, UniformRandomProvider random) {
        List<EngineFake> live = candidates.stream()
                .filter(load -> !request.excluded().contains(load.upstream()))
                .map(load -> engines.get(load.upstream()))
                .filter(engine -> !engine.isDead())
                .toList();
        double mean = live.stream().mapToInt(EngineFake::inFlight).average().orElse(0);
        Comparator<EngineFake> byLoad = Comparator.comparingInt(EngineFake::inFlight);
        return live.stream()
                .filter(engine -> engine.isCached((int) request.prefixHash()))
                .filter(engine -> engine.inFlight() + 1 <= Math.ceil(LOAD_BOUND * mean))
                .min(byLoad)
                .or(() -> live.stream().min(byLoad))
                .map(engine -> new Choice(engine.name(), name()));
    }
}
