package org.masticcroft.kernel.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** What remains on an engine while a plan is made, and the steps so far. */
final class EngineState {
    private final long memoryBytes;
    private final List<EngineView.Weights> resident = new ArrayList<>();
    private final List<PlacementStep> steps = new ArrayList<>();
    private boolean ready;

    private EngineState(EngineView engine) {
        this.memoryBytes = engine.memoryBytes();
        engine.weights().stream().filter(EngineState::isResident).forEach(resident::add);
        this.ready = hasLoaded();
    }

    static EngineState of(EngineView engine) {
        return new EngineState(engine);
    }

    List<PlacementStep> steps() {
        return List.copyOf(steps);
    }

    List<EngineView.Weights> resident() {
        return List.copyOf(resident);
    }

    /** Returns whether weights fit beside the resident ones; partly staged weights already have their full size. */
    boolean fits(EngineView.Weights weights) {
        return fitsWithout(List.of(), weights);
    }

    /** Returns whether weights would fit if {@code removed} were gone. */
    boolean fitsWithout(List<EngineView.Weights> removed, EngineView.Weights weights) {
        long used = resident.stream()
                .filter(other -> !removed.contains(other) && !other.digest().equals(weights.digest()))
                .mapToLong(EngineView.Weights::sizeBytes)
                .sum();
        return used + weights.sizeBytes() <= memoryBytes;
    }

    void remove(EngineView.Weights weights, String reason) {
        resident.removeIf(other -> other.digest().equals(weights.digest()));
        ready = hasLoaded();
        boolean loaded = weights.states().contains(EngineView.State.LOADED);
        add(loaded ? PlacementStep.Action.UNLOAD : PlacementStep.Action.DROP_STAGED, weights, reason);
    }

    /** Adds the steps that make weights ready; service is interrupted until then if nothing else is loaded. */
    void bringUp(EngineView.Weights weights, String reason) {
        if (!weights.states().contains(EngineView.State.STAGED)) {
            add(PlacementStep.Action.FETCH, weights, reason);
        }
        add(PlacementStep.Action.LOAD, weights, reason);
        resident.removeIf(other -> other.digest().equals(weights.digest()));
        resident.add(new EngineView.Weights(weights.digest(), weights.sizeBytes(), Set.of(EngineView.State.LOADED)));
        ready = true;
    }

    private void add(PlacementStep.Action action, EngineView.Weights weights, String reason) {
        steps.add(new PlacementStep(action, weights.digest(), reason, !ready));
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
