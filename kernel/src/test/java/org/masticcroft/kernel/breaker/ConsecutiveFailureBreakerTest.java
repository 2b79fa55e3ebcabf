package org.masticcroft.kernel.breaker;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConsecutiveFailureBreakerTest {
    private static final long OPEN = Duration.ofSeconds(2).toNanos();

    private final CircuitBreaker breaker = ConsecutiveFailureBreaker.of(3, Duration.ofNanos(OPEN));

    private void failThreeTimes() {
        for (int failures = 0; failures < 3; failures++) {
            breaker.onFailure(0);
        }
    }

    @Nested
    class Closed {
        /** Guards against a breaker that opens on failures with successes in between. */
        @Test
        void opensOnlyOnConsecutiveFailures() {
            breaker.onFailure(0);
            breaker.onFailure(0);
            breaker.onSuccess(0);
            breaker.onFailure(0);
            assertThat(breaker.state(0)).isEqualTo(CircuitBreaker.State.CLOSED);
            failThreeTimes();
            assertThat(breaker.tryAcquire(OPEN - 1)).isFalse();
        }
    }

    @Nested
    class HalfOpen {
        /** Guards against a burst onto an upstream that may still be failing. */
        @Test
        void permitsOneProbeAtATime() {
            failThreeTimes();
            assertThat(breaker.tryAcquire(OPEN)).isTrue();
            assertThat(breaker.tryAcquire(OPEN)).isFalse();
            breaker.onSuccess(OPEN);
            assertThat(breaker.tryAcquire(OPEN)).isTrue();
        }

        /** Guards against an upstream that stays blocked because the result of a probe was lost. */
        @Test
        void permitsAnotherProbeWhenTheFirstIsLost() {
            failThreeTimes();
            breaker.tryAcquire(OPEN);
            assertThat(breaker.tryAcquire(2 * OPEN)).isTrue();
        }

        @Test
        void opensAgainWhenTheProbeFails() {
            failThreeTimes();
            breaker.tryAcquire(OPEN);
            breaker.onFailure(OPEN);
            assertThat(breaker.state(2 * OPEN - 1)).isEqualTo(CircuitBreaker.State.OPEN);
        }
    }
}
