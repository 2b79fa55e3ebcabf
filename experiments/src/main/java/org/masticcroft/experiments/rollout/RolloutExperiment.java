package org.masticcroft.experiments.rollout;

import java.util.ArrayList;
import java.util.List;
import org.masticcroft.experiments.Experiment;
import org.masticcroft.experiments.ExperimentSettings;
import org.masticcroft.experiments.report.Bound;
import org.masticcroft.experiments.report.Measurement;
import org.masticcroft.experiments.report.Report;
import org.masticcroft.kernel.plugin.PluginRegistry;
import org.masticcroft.kernel.rollout.FetchPlanner;

/** Measures time and traffic until all replicas in three regions hold new weights. */
public final class RolloutExperiment implements Experiment {
    private static final double MAX_SECONDS = 900;
    private static final double FAULT_SECONDS = 100;
    private static final int FAULT_REPLICAS = 300;
    private static final int SMALL_FAULT_REPLICAS = 24;

    @Override
    public String name() {
        return "rollout";
    }

    @Override
    public Report run(ExperimentSettings settings) {
        List<Measurement> measurements = new ArrayList<>();
        List<Integer> sizes = settings.small() ? List.of(8, 24) : List.of(8, 64, 300, 1_100);
        for (int replicas : sizes) {
            measure(measurements, "regional-swarm", replicas, RolloutFault.NONE, settings.seed());
        }
        int faultReplicas = settings.small() ? SMALL_FAULT_REPLICAS : FAULT_REPLICAS;
        for (RolloutFault fault : RolloutFault.values()) {
            if (fault != RolloutFault.NONE) {
                measure(measurements, "regional-swarm", faultReplicas, fault, settings.seed());
            }
        }
        for (int replicas : sizes.subList(0, 2)) {
            measure(measurements, "store-only", replicas, RolloutFault.NONE, settings.seed());
        }
        return new Report(name(), measurements);
    }

    private static void measure(
            List<Measurement> measurements, String policy, int replicas, RolloutFault fault, long seed) {
        FetchPlanner planner = PluginRegistry.of(FetchPlanner.class).require(policy);
        RolloutReplay.Result result = new RolloutReplay(planner, replicas, fault, seed).run(MAX_SECONDS, FAULT_SECONDS);
        double narrowestLink = Math.min(
                RolloutReplay.INTER_REGION_BITS_PER_SECOND,
                Math.min(RolloutReplay.ORIGIN_BITS_PER_SECOND, RolloutReplay.MACHINE_BITS_PER_SECOND));
        double minSeconds = RolloutReplay.MODEL_BITS / narrowestLink;
        String scenario = replicas + " replicas " + fault.title();
        Bound timeBound = Bound.atMost(fault == RolloutFault.NONE ? 1.3 : 2);
        measurements.add(Measurement.of(
                scenario, policy, "time relative to the narrowest link", result.seconds() / minSeconds, timeBound));
        measurements.add(Measurement.of(scenario, policy, "seconds", result.seconds()));
        measurements.add(Measurement.of(
                scenario, policy, "complete part of live machines", result.completeFraction(), Bound.atLeast(1)));
        measurements.add(Measurement.of(
                scenario, policy, "copies drawn from the origin", result.originCopies(), Bound.atMost(1.1)));
        measurements.add(Measurement.of(
                scenario, policy, "copies crossed to another region", result.interRegionCopies(), Bound.atMost(1.1)));
    }
}
