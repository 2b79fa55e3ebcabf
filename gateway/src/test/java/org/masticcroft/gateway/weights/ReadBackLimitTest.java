package org.masticcroft.gateway.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReadBackLimitTest {
    private static final int PIECES = 96;
    private static final Duration TARGET = Duration.ofMillis(1500);

    private final ReadBackLimit limit = new ReadBackLimit(PIECES, TARGET);

    private int afterCalls(int count, Duration call) {
        for (int i = 0; i < count; i++) {
            limit.record(call);
        }
        return limit.value();
    }

    @Nested
    class AnEngineThatAnswersSlowly {
        /** Guards against read-backs that are too old at the order although the engine would answer more at a time. */
        @Test
        void isReadWithAsManyCallsAsTheTargetNeeds() {
            Duration call = Duration.ofMillis(150);
            int calls = afterCalls(40, call);
            assertThat(call.multipliedBy(PIECES).dividedBy(calls)).isLessThanOrEqualTo(Duration.ofMillis(1650));
        }

        /** Guards against calls that time out because they share a bandwidth. */
        @Test
        void isReadWithFewerCallsOnceTheySlowEachOtherDown() {
            afterCalls(40, Duration.ofMillis(300));
            int before = limit.value();
            assertThat(afterCalls(1, Duration.ofMillis(900))).isLessThanOrEqualTo(before / 2);
            assertThat(afterCalls(20, Duration.ofMillis(900))).isEqualTo(3);
        }
    }

    @Nested
    class AnEngineThatAnswersQuickly {
        /** Guards against many connections to an engine that does not need them. */
        @Test
        void isReadWithAFewCalls() {
            assertThat(afterCalls(40, Duration.ofMillis(5))).isEqualTo(3);
        }
    }
}
