package org.masticcroft.kernel.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Builds a plan step by step and tracks which weights the engine holds after the steps so far. */
final class PlanBuilder {
    private final long memoryBytes;
    private final List<EngineView.Weights> resident = new ArrayList<>();
    private final List<PlacementStep> steps = new ArrayList<>();
    private boolean serving;

    private PlanBuilder(EngineView engine) {
        this.memoryBytes = engine.memoryBytes();
        engine.weights().stream().filter(PlanBuilder::isResident).forEach(resident::add);
        this.serving = hasLoaded();
    }

    static PlanBuilder of(EngineView engine) {
        return new PlanBuilder(engine);
    }

    List<PlacementStep> steps() {
        return List.copyOf(steps);
    }

    List<EngineView.Weights> resident() {
        return List.copyOf(resident);
    }

    /** Returns whether weights fit beside the resident ones. Partly staged weights count with their full size. */
    boolean fits(EngineView.Weights weights) {
        return fitsWithout(List.of(), weights);
    }

    /** Returns whether weights would fit if {@code removed} were not resident. */
    boolean fitsWithout(List<EngineView.Weights> removed, EngineView.Weights weights) {
        long used = resident.stream()
                .filter(other -> !removed.contains(other) && !other.digest().equals(weights.digest()))
                .mapToLong(EngineView.Weights::sizeBytes)
                .sum();
        return used + weights.sizeBytes() <= memoryBytes;
    }

    /** Adds the step that removes resident weights. */
    void remove(EngineView.Weights weights, String reason) {
        resident.removeIf(other -> other.digest().equals(weights.digest()));
        serving = hasLoaded();
        boolean loaded = weights.states().contains(EngineView.State.LOADED);
        add(loaded ? PlacementStep.Action.UNLOAD : PlacementStep.Action.DROP_STAGED, weights, reason);
    }

    /**
     * Adds the steps that fetch weights, unless they are staged, and load them. The steps interrupt the service if no
     * other weights are loaded.
     */
    void fetchAndLoad(EngineView.Weights weights, String reason) {
        if (!weights.states().contains(EngineView.State.STAGED)) {
            add(PlacementStep.Action.FETCH, weights, reason);
        }
        add(PlacementStep.Action.LOAD, weights, reason);
        resident.removeIf(other -> other.digest().equals(weights.digest()));
        resident.add(new EngineView.Weights(weights.digest(), weights.sizeBytes(), Set.of(EngineView.State.LOADED)));
        serving = true;
    }

    private void add(PlacementStep.Action action, EngineView.Weights weights, String reason) {
        steps.add(new PlacementStep(action, weights.digest(), reason, !serving));
    }

    private boolean hasLoaded() {
        return resident.stream().anyMatch(weights -> weights.states().contains(EngineView.State.LOADED));
    }

    private static boolean isResident(EngineView.Weights weights) {
        return weights.states().contains(EngineView.State.LOADED)
                || weights.states().contains(EngineView.State.STAGED)
                || weights.states().contains(EngineView.State.PARTLY_STAGED);
    }
}
