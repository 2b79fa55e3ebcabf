package org.masticcroft.experiments.rollout;

import java.util.ArrayList;
import java.util.List;
import org.masticcroft.experiments.Experiment;
import org.masticcroft.experiments.ExperimentSettings;
import org.masticcroft.experiments.report.Bound;
import org.masticcroft.experiments.report.Measure;
import org.masticcroft.experiments.report.Report;
import org.masticcroft.kernel.plugin.PluginRegistry;
import org.masticcroft.kernel.rollout.FetchPlanner;

/** Time and traffic until all replicas in three regions hold new weights. */
public final class RolloutExperiment implements Experiment {
    private static final double MAX_SECONDS = 900;
    private static final double CHANGE_SECONDS = 100;
    private static final int FAULT_REPLICAS = 300;
    private static final int SMALL_FAULT_REPLICAS = 24;

    @Override
    public String name() {
        return "rollout";
    }

    @Override
    public Report run(ExperimentSettings settings) {
        List<Measure> measures = new ArrayList<>();
        List<Integer> sizes = settings.small() ? List.of(8, 24) : List.of(8, 64, 300, 1_100);
        for (int replicas : sizes) {
            measure(measures, "regional-swarm", replicas, RolloutFault.NONE, settings.seed());
        }
        int faultReplicas = settings.small() ? SMALL_FAULT_REPLICAS : FAULT_REPLICAS;
        for (RolloutFault fault : RolloutFault.values()) {
            if (fault != RolloutFault.NONE) {
                measure(measures, "regional-swarm", faultReplicas, fault, settings.seed());
            }
        }
        for (int replicas : sizes.subList(0, 2)) {
            measure(measures, "store-only", replicas, RolloutFault.NONE, settings.seed());
        }
        return new Report(name(), measures);
    }

    private static void measure(List<Measure> measures, String policy, int replicas, RolloutFault fault, long seed) {
        FetchPlanner planner = PluginRegistry.of(FetchPlanner.class).require(policy);
        RolloutReplay.Result result =
                new RolloutReplay(planner, replicas, fault, seed).run(MAX_SECONDS, CHANGE_SECONDS);
        double narrowest = Math.min(
                RolloutReplay.CROSS_BITS_PER_SECOND,
                Math.min(RolloutReplay.ORIGIN_BITS_PER_SECOND, RolloutReplay.MACHINE_BITS_PER_SECOND));
        double bound = RolloutReplay.MODEL_BITS / narrowest;
        String scenario = replicas + " replicas " + fault.title();
        Bound time = Bound.atMost(fault == RolloutFault.NONE ? 1.3 : 2);
        measures.add(
                Measure.of(scenario, policy, "time relative to the narrowest link", result.seconds() / bound, time));
        measures.add(Measure.of(scenario, policy, "seconds", result.seconds()));
        measures.add(
                Measure.of(scenario, policy, "complete part of live machines", result.complete(), Bound.atLeast(1)));
        measures.add(
                Measure.of(scenario, policy, "copies drawn from the origin", result.originCopies(), Bound.atMost(1.1)));
        measures.add(Measure.of(
                scenario, policy, "copies crossed to another region", result.crossedCopies(), Bound.atMost(1.1)));
    }
}
