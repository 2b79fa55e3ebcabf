package org.masticcroft.gateway.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.time.ManualTimeSource;

class MomentTest {
    private static final Duration STEP = Duration.ofSeconds(4);

    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final Moment moment = Moment.now(time);

    @Nested
    class Age {
        /** Guards against evidence from before a suspension, which only the wall clock counts, that passes as young. */
        @Test
        void includesASuspension() {
            time.stepWallClock(STEP);
            assertThat(moment.age(time)).isEqualTo(STEP);
        }

        /** Guards against evidence that passes as young because the wall clock was set back. */
        @Test
        void doesNotShrinkWithTheWallClock() {
            time.advance(STEP);
            time.stepWallClock(Duration.ofMinutes(-1));
            assertThat(moment.age(time)).isEqualTo(STEP);
        }
    }
}
