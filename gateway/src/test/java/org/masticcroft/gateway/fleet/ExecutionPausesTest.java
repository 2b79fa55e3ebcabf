package org.masticcroft.gateway.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.time.ManualTimeSource;

class ExecutionPausesTest {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final ExecutionPauses pauses = ExecutionPauses.watch(time);

    @Test
    void areNotAssumedBetweenTimelyChecks() {
        for (int i = 0; i < 20; i++) {
            time.advance(CHECK_INTERVAL);
            assertThat(pauses.check()).isZero();
        }
        assertThat(pauses.greatestAgeOfNews()).isZero();
    }

    // Guards against news that counts as fresh although it waited for a frozen process.
    @Test
    void makeNewsAsOldAsTheBeginOfAFreeze() {
        time.advance(Duration.ofSeconds(4));
        assertThat(pauses.check()).isZero();
        time.advance(CHECK_INTERVAL);
        pauses.check();
        assertThat(pauses.greatestAgeOfNews()).isEqualTo(Duration.ofMillis(4100));
    }

    // Guards against a suspension that the monotonic clock does not count.
    @Test
    void includeASuspensionOfTheMachine() {
        time.stepWallClock(Duration.ofSeconds(4));
        assertThat(pauses.check()).isEqualTo(Duration.ofSeconds(4));
        assertThat(pauses.greatestAgeOfNews()).isEqualTo(Duration.ofSeconds(4));
    }

    // Guards against news that counts as old long after the process has caught up.
    @Test
    void endOnceTheProcessHasCaughtUp() {
        time.advance(Duration.ofSeconds(4));
        pauses.check();
        time.advance(Duration.ofMillis(2100));
        assertThat(pauses.greatestAgeOfNews()).isZero();
    }

    // Guards against news from a long freeze that counts from the short stall in which the process catches up.
    @Test
    void beginWithTheFirstOfSeveralBeforeTheProcessHasCaughtUp() {
        time.advance(Duration.ofSeconds(4));
        pauses.check();
        time.advance(CHECK_INTERVAL);
        pauses.check();
        time.advance(Duration.ofMillis(500));
        pauses.check();
        assertThat(pauses.greatestAgeOfNews()).isEqualTo(Duration.ofMillis(4600));
    }

    @Test
    void areSeparateOnceTheProcessHasCaughtUp() {
        time.advance(Duration.ofSeconds(4));
        pauses.check();
        for (int i = 0; i < 21; i++) {
            time.advance(CHECK_INTERVAL);
            pauses.check();
        }
        time.advance(Duration.ofMillis(500));
        pauses.check();
        assertThat(pauses.greatestAgeOfNews()).isEqualTo(Duration.ofMillis(500));
    }

    @Test
    void areNotAssumedWhenTheWallClockIsSetBack() {
        time.stepWallClock(Duration.ofSeconds(-4));
        assertThat(pauses.check()).isZero();
        assertThat(pauses.greatestAgeOfNews()).isZero();
    }
}
