package org.masticcroft.kernel.placement;

import java.util.List;

/** Baseline policy: removes all unwanted weights, then loads the wanted ones. */
public final class ReplacePlanner implements PlacementPlanner {
    /** Creates the plug-in; used by the service loader. */
    public ReplacePlanner() {}

    @Override
    public String name() {
        return "replace";
    }

    @Override
    public List<PlacementStep> plan(EngineView engine) {
        PlanBuilder plan = PlanBuilder.of(engine);
        for (EngineView.Weights resident : plan.resident()) {
            if (!resident.states().contains(EngineView.State.WANTED)) {
                plan.remove(resident, name());
            }
        }
        for (EngineView.Weights wanted : engine.weights()) {
            boolean mustLoad = wanted.states().contains(EngineView.State.WANTED)
                    && !wanted.states().contains(EngineView.State.LOADED);
            if (mustLoad && plan.fits(wanted)) {
                plan.fetchAndLoad(wanted, name());
            }
        }
        return plan.steps();
    }
}
