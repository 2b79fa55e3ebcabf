package org.masticcroft.experiments;

import java.util.List;
import org.masticcroft.experiments.choice.ChoiceExperiment;
import org.masticcroft.experiments.placement.PlacementExperiment;
import org.masticcroft.experiments.retry.RetryExperiment;
import org.masticcroft.experiments.rollout.RolloutExperiment;
import org.masticcroft.experiments.serving.FairnessExperiment;
import org.masticcroft.experiments.serving.PreemptionExperiment;
import org.masticcroft.experiments.serving.RankExperiment;

/** Lists the experiments that the command can run. */
public final class Experiments {
    private Experiments() {}

    /** Returns all experiments, one per kind of policy. */
    public static List<Experiment> all() {
        return List.of(
                new RankExperiment(),
                new FairnessExperiment(),
                new PreemptionExperiment(),
                new ChoiceExperiment(),
                new PlacementExperiment(),
                new RetryExperiment(),
                new RolloutExperiment());
    }
}
