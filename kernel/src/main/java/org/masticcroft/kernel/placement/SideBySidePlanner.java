package org.masticcroft.kernel.placement;

import java.util.Comparator;
import java.util.List;

/**
 * Brings wanted weights up beside the old ones and removes the old ones afterwards. Only if memory does not suffice are
 * unwanted weights removed first: staged ones, then idle ones, and as a last resort ones in use. The step that removes
 * weights in use has the reason {@code drain-for-memory}; whoever executes it first lets the running requests finish.
 * Nothing is removed
 * for wanted weights that would not fit even then. Weights count once towards the memory, whether staged, loaded or
 * both.
 */
public final class SideBySidePlanner implements PlacementPlanner {
    /** Creates the plug-in; used by the service loader. */
    public SideBySidePlanner() {}

    @Override
    public String name() {
        return "side-by-side";
    }

    @Override
    public List<PlacementStep> plan(EngineView engine) {
        EngineState state = EngineState.of(engine);
        boolean complete = true;
        for (EngineView.Weights wanted : engine.weights()) {
            if (has(wanted, EngineView.State.WANTED) && !has(wanted, EngineView.State.LOADED)) {
                if (makeRoom(state, engine, wanted)) {
                    state.bringUp(wanted, "wanted");
                } else {
                    complete = false;
                }
            }
        }
        for (EngineView.Weights old : state.resident()) {
            if (complete && isUnwanted(old, engine) && !has(old, EngineView.State.IN_USE)) {
                state.remove(old, "not-wanted");
            }
        }
        return state.steps();
    }

    /** Removes nothing if the weights would not even fit with all unwanted ones removed. */
    private static boolean makeRoom(EngineState state, EngineView engine, EngineView.Weights wanted) {
        List<EngineView.Weights> victims = state.resident().stream()
                .filter(weights -> isUnwanted(weights, engine))
                .sorted(Comparator.comparingInt(SideBySidePlanner::costOfRemoval))
                .toList();
        if (!state.fitsWithout(victims, wanted)) {
            return false;
        }
        for (EngineView.Weights victim : victims) {
            if (state.fits(wanted)) {
                break;
            }
            state.remove(victim, has(victim, EngineView.State.IN_USE) ? "drain-for-memory" : "memory");
        }
        return true;
    }

    private static int costOfRemoval(EngineView.Weights weights) {
        if (!has(weights, EngineView.State.LOADED)) {
            return 0;
        }
        return has(weights, EngineView.State.IN_USE) ? 2 : 1;
    }

    private static boolean isUnwanted(EngineView.Weights weights, EngineView engine) {
        return engine.weights().stream()
                .noneMatch(other -> other.digest().equals(weights.digest()) && has(other, EngineView.State.WANTED));
    }

    private static boolean has(EngineView.Weights weights, EngineView.State state) {
        return weights.states().contains(state);
    }
}
