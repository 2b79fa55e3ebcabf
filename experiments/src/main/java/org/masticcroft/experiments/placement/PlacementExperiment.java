package org.masticcroft.experiments.placement;

import java.util.ArrayList;
import java.util.List;
import org.masticcroft.experiments.Experiment;
import org.masticcroft.experiments.ExperimentSettings;
import org.masticcroft.experiments.replay.EventLoop;
import org.masticcroft.experiments.report.Bound;
import org.masticcroft.experiments.report.Measurement;
import org.masticcroft.experiments.report.Report;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.kernel.placement.PlacementPlanner;
import org.masticcroft.kernel.plugin.PluginRegistry;

/** Measures interruptions while a new version replaces the old one on every engine, with memory for both or one. */
public final class PlacementExperiment implements Experiment {
    private static final long GIB = 1L << 30;
    private static final long WEIGHTS_BYTES = 10 * GIB;
    private static final long END_NANOS = 600_000_000_000L;
    private static final long SAMPLE_NANOS = 100_000_000;

    @Override
    public String name() {
        return "placement";
    }

    @Override
    public Report run(ExperimentSettings settings) {
        List<Measurement> measurements = new ArrayList<>();
        for (Deployment deployment : settings.deployments()) {
            for (String policy : List.of("side-by-side", "replace")) {
                measure(measurements, deployment, policy, true);
                measure(measurements, deployment, policy, false);
            }
        }
        return new Report(name(), measurements);
    }

    private static void measure(
            List<Measurement> measurements, Deployment deployment, String policy, boolean memoryForBoth) {
        PlacementPlanner planner = PluginRegistry.of(PlacementPlanner.class).require(policy);
        EventLoop loop = EventLoop.empty();
        List<PlacedEngine> engines = new ArrayList<>();
        for (int number = 0; number < deployment.engines(); number++) {
            PlacedEngine engine =
                    new PlacedEngine(loop, planner, memoryForBoth ? 2 * WEIGHTS_BYTES : WEIGHTS_BYTES, WEIGHTS_BYTES);
            engines.add(engine);
            engine.executePlan();
        }
        int[] minReady = {engines.size()};
        for (long sampleNanos = 0; sampleNanos < END_NANOS; sampleNanos += SAMPLE_NANOS) {
            loop.scheduleAt(
                    sampleNanos,
                    () -> minReady[0] = Math.min(minReady[0], (int)
                            engines.stream().filter(PlacedEngine::isReady).count()));
        }
        loop.runUntil(END_NANOS);
        String scenario = deployment.name() + (memoryForBoth ? " memory for both" : " memory for one");
        double minReadyEngines = minReady[0];
        measurements.add(
                memoryForBoth
                        ? Measurement.of(scenario, policy, "fewest ready engines", minReadyEngines, Bound.atLeast(1))
                        : Measurement.of(scenario, policy, "fewest ready engines", minReadyEngines));
        measurements.add(Measurement.of(
                scenario,
                policy,
                "interruptions that no plan announced",
                engines.stream().mapToInt(PlacedEngine::unplannedInterruptions).sum(),
                Bound.atMost(0)));
        measurements.add(Measurement.of(
                scenario,
                policy,
                "engines on the new version at the end",
                engines.stream().filter(PlacedEngine::isOnNewVersion).count(),
                Bound.atLeast(engines.size())));
    }
}
