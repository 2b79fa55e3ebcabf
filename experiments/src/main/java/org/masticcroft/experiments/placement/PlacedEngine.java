package org.masticcroft.experiments.placement;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.masticcroft.experiments.replay.EventLoop;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.placement.EngineView;
import org.masticcroft.kernel.placement.EngineView.State;
import org.masticcroft.kernel.placement.PlacementPlanner;
import org.masticcroft.kernel.placement.PlacementStep;

/** Fake engine that changes from an old version to a new one by following the planner's steps. */
final class PlacedEngine {
    private static final WeightsDigest OLD = WeightsDigest.of("sha256:" + "0".repeat(64));
    private static final WeightsDigest NEW = WeightsDigest.of("sha256:" + "1".repeat(64));
    private static final long REPLAN_INTERVAL_NANOS = 2_000_000_000L;
    private static final long FETCH_NANOS = 60_000_000_000L;
    private static final long LOAD_NANOS = 5_000_000_000L;
    private static final long UNLOAD_NANOS = 1_000_000_000L;

    /** Time until the requests on the old version complete, once it receives no new ones. */
    private static final long DRAIN_NANOS = 10_000_000_000L;

    private final EventLoop loop;
    private final PlacementPlanner planner;
    private final long memoryBytes;
    private final long sizeBytes;
    private final Set<State> oldStates = EnumSet.of(State.LOADED, State.IN_USE);
    private final Set<State> newStates = EnumSet.of(State.WANTED);
    private boolean interruptionPlanned;
    private int unplannedInterruptions;

    PlacedEngine(EventLoop loop, PlacementPlanner planner, long memoryBytes, long sizeBytes) {
        this.loop = loop;
        this.planner = planner;
        this.memoryBytes = memoryBytes;
        this.sizeBytes = sizeBytes;
    }

    boolean isReady() {
        return oldStates.contains(State.LOADED) || isOnNewVersion();
    }

    boolean isOnNewVersion() {
        return newStates.contains(State.LOADED);
    }

    /** Returns the number of steps that left no version ready although the plan announced no interruption. */
    int unplannedInterruptions() {
        return unplannedInterruptions;
    }

    /** Executes the first step of the plan, then plans again; repeats this for ever. */
    void executePlan() {
        List<PlacementStep> plan = planner.plan(new EngineView(
                memoryBytes,
                List.of(
                        new EngineView.Weights(OLD, sizeBytes, oldStates),
                        new EngineView.Weights(NEW, sizeBytes, newStates))));
        interruptionPlanned = plan.stream().anyMatch(PlacementStep::interruptsService);
        if (plan.isEmpty()) {
            loop.scheduleAfter(REPLAN_INTERVAL_NANOS, this::executePlan);
            return;
        }
        PlacementStep step = plan.get(0);
        loop.scheduleAfter(durationOf(step), () -> {
            apply(step);
            executePlan();
        });
    }

    private long durationOf(PlacementStep step) {
        boolean drains = step.digest().equals(OLD) && oldStates.contains(State.IN_USE);
        return switch (step.action()) {
            case FETCH -> FETCH_NANOS;
            case LOAD -> LOAD_NANOS;
            case UNLOAD, DROP_STAGED -> UNLOAD_NANOS + (drains ? DRAIN_NANOS : 0);
        };
    }

    private void apply(PlacementStep step) {
        Set<State> states = step.digest().equals(OLD) ? oldStates : newStates;
        if (step.action() == PlacementStep.Action.FETCH) {
            states.add(State.STAGED);
        } else if (step.action() == PlacementStep.Action.LOAD) {
            states.add(State.LOADED);
            loop.scheduleAfter(DRAIN_NANOS, () -> oldStates.remove(State.IN_USE));
        } else {
            states.removeAll(EnumSet.of(State.LOADED, State.STAGED, State.PARTLY_STAGED, State.IN_USE));
        }
        if (!isReady() && !interruptionPlanned) {
            unplannedInterruptions++;
        }
    }
}
