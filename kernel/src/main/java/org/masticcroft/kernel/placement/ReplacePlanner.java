package org.masticcroft.kernel.placement;

import java.util.List;

/** Baseline: removes everything that is not wanted, then brings the wanted weights up. */
public final class ReplacePlanner implements PlacementPlanner {
    /** Creates the plug-in; used by the service loader. */
    public ReplacePlanner() {}

    @Override
    public String name() {
        return "replace";
    }

    @Override
    public List<PlacementStep> plan(EngineView engine) {
        EngineState state = EngineState.of(engine);
        for (EngineView.Weights old : state.resident()) {
            if (!old.states().contains(EngineView.State.WANTED)) {
                state.remove(old, name());
            }
        }
        for (EngineView.Weights wanted : engine.weights()) {
            boolean missing = wanted.states().contains(EngineView.State.WANTED)
                    && !wanted.states().contains(EngineView.State.LOADED);
            if (missing && state.fits(wanted)) {
                state.bringUp(wanted, name());
            }
        }
        return state.steps();
    }
}
