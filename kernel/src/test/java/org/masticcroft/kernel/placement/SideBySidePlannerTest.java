package org.masticcroft.kernel.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.placement.EngineView.State;
import org.masticcroft.kernel.placement.PlacementStep.Action;

class SideBySidePlannerTest {
    private static final WeightsDigest OLD = WeightsDigest.of("sha256:" + "0".repeat(64));
    private static final WeightsDigest NEW = WeightsDigest.of("sha256:" + "1".repeat(64));

    private static List<PlacementStep> plan(long memory, long oldSize, long newSize, Set<State> oldStates) {
        return new SideBySidePlanner()
                .plan(new EngineView(
                        memory,
                        List.of(
                                new EngineView.Weights(OLD, oldSize, oldStates),
                                new EngineView.Weights(NEW, newSize, Set.of(State.WANTED)))));
    }

    /** Guards against an interruption although memory suffices, and against one that the plan does not declare. */
    @Property(seed = "19", tries = 300)
    void interruptsServiceOnlyWithoutMemoryForBoth(
            @ForAll @IntRange(min = 1, max = 20) int memory,
            @ForAll @IntRange(min = 1, max = 20) int oldSize,
            @ForAll @IntRange(min = 1, max = 20) int newSize) {
        Assume.that(oldSize <= memory);
        List<PlacementStep> steps = plan(memory, oldSize, newSize, Set.of(State.LOADED));
        boolean interrupts = steps.stream().anyMatch(PlacementStep::interruptsService);
        boolean mustInterrupt = newSize <= memory && oldSize + newSize > memory;
        assertThat(interrupts).isEqualTo(mustInterrupt);
        if (newSize > memory) {
            assertThat(steps).extracting(PlacementStep::action).doesNotContain(Action.FETCH, Action.LOAD);
        }
    }

    /** Guards against the removal of weights that running requests use. */
    @Test
    void keepsUnwantedWeightsWhileTheyAreInUse() {
        assertThat(plan(10, 4, 4, Set.of(State.LOADED, State.IN_USE)))
                .extracting(PlacementStep::action)
                .containsExactly(Action.FETCH, Action.LOAD);
    }

    /** Guards against an executor that aborts requests because the plan does not require them to finish first. */
    @Test
    void declaresThatWeightsInUseMustBeDrained() {
        assertThat(plan(4, 4, 4, Set.of(State.LOADED, State.IN_USE)).get(0).reason())
                .isEqualTo("drain-for-memory");
    }
}
