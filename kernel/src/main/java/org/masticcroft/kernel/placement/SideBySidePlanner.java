package org.masticcroft.kernel.placement;

import java.util.Comparator;
import java.util.List;

/**
 * Loads wanted weights beside the old ones and removes the old ones afterwards. If memory does not suffice, unwanted
 * weights are removed first: staged ones, then idle loaded ones, and as a last resort those in use. The step that
 * removes weights in use has the reason {@code drain-for-memory}; its executor must first let the running requests
 * finish. Nothing is removed for wanted weights that would not fit even then. Weights count once towards the memory,
 * whether they are staged, loaded or both.
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
        PlanBuilder plan = PlanBuilder.of(engine);
        boolean allFit = true;
        for (EngineView.Weights wanted : engine.weights()) {
            if (has(wanted, EngineView.State.WANTED) && !has(wanted, EngineView.State.LOADED)) {
                if (freeMemory(plan, engine, wanted)) {
                    plan.fetchAndLoad(wanted, "wanted");
                } else {
                    allFit = false;
                }
            }
        }
        for (EngineView.Weights resident : plan.resident()) {
            if (allFit && isUnwanted(resident, engine) && !has(resident, EngineView.State.IN_USE)) {
                plan.remove(resident, "not-wanted");
            }
        }
        return plan.steps();
    }

    /** Removes unwanted weights until the wanted ones fit; removes nothing and returns false if they cannot fit. */
    private static boolean freeMemory(PlanBuilder plan, EngineView engine, EngineView.Weights wanted) {
        List<EngineView.Weights> candidates = plan.resident().stream()
                .filter(weights -> isUnwanted(weights, engine))
                .sorted(Comparator.comparingInt(SideBySidePlanner::removalCost))
                .toList();
        if (!plan.fitsWithout(candidates, wanted)) {
            return false;
        }
        for (EngineView.Weights candidate : candidates) {
            if (plan.fits(wanted)) {
                break;
            }
            plan.remove(candidate, has(candidate, EngineView.State.IN_USE) ? "drain-for-memory" : "memory");
        }
        return true;
    }

    private static int removalCost(EngineView.Weights weights) {
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
