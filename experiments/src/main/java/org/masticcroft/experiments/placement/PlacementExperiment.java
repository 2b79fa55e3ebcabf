package org.masticcroft.experiments.placement;

import java.util.ArrayList;
import java.util.List;
import org.masticcroft.experiments.Experiment;
import org.masticcroft.experiments.ExperimentSettings;
import org.masticcroft.experiments.replay.EventLoop;
import org.masticcroft.experiments.report.Bound;
import org.masticcroft.experiments.report.Measure;
import org.masticcroft.experiments.report.Report;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.kernel.placement.PlacementPlanner;
import org.masticcroft.kernel.plugin.PluginRegistry;

/** A new version replaces the old one on every engine, with memory for both and without. */
public final class PlacementExperiment implements Experiment {
    private static final long GIB = 1L << 30;
    private static final long SIZE = 10 * GIB;
    private static final long END_NANOS = 600_000_000_000L;
    private static final long SAMPLE_NANOS = 100_000_000;

    @Override
    public String name() {
        return "placement";
    }

    @Override
    public Report run(ExperimentSettings settings) {
        List<Measure> measures = new ArrayList<>();
        for (Deployment deployment : settings.deployments()) {
            for (String policy : List.of("side-by-side", "replace")) {
                measure(measures, deployment, policy, true);
                measure(measures, deployment, policy, false);
            }
        }
        return new Report(name(), measures);
    }

    private static void measure(List<Measure> measures, Deployment deployment, String policy, boolean memoryForBoth) {
        PlacementPlanner planner = PluginRegistry.of(PlacementPlanner.class).require(policy);
        EventLoop loop = EventLoop.empty();
        List<PlacedEngine> engines = new ArrayList<>();
        for (int number = 0; number < deployment.engines(); number++) {
            PlacedEngine engine = new PlacedEngine(loop, planner, memoryForBoth ? 2 * SIZE : SIZE, SIZE);
            engines.add(engine);
            engine.run();
        }
        int[] fewest = {engines.size()};
        for (long at = 0; at < END_NANOS; at += SAMPLE_NANOS) {
            loop.at(
                    at,
                    () -> fewest[0] = Math.min(fewest[0], (int)
                            engines.stream().filter(PlacedEngine::isReady).count()));
        }
        loop.runUntil(END_NANOS);
        String scenario = deployment.name() + (memoryForBoth ? " memory for both" : " memory for one");
        double ready = fewest[0];
        measures.add(
                memoryForBoth
                        ? Measure.of(scenario, policy, "fewest ready engines", ready, Bound.atLeast(1))
                        : Measure.of(scenario, policy, "fewest ready engines", ready));
        measures.add(Measure.of(
                scenario,
                policy,
                "interruptions that no plan announced",
                engines.stream().mapToInt(PlacedEngine::unannounced).sum(),
                Bound.atMost(0)));
        measures.add(Measure.of(
                scenario,
                policy,
                "engines on the new version at the end",
                engines.stream().filter(PlacedEngine::isOnNewVersion).count(),
                Bound.atLeast(engines.size())));
    }
}
