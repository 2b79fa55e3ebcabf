package org.masticcroft.kernel.breaker;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConsecutiveFailureBreakerTest {
    private static final long OPEN_NANOS = Duration.ofSeconds(2).toNanos();

    private final CircuitBreaker breaker = ConsecutiveFailureBreaker.of(3, Duration.ofNanos(OPEN_NANOS));

    private void failThreeTimes() {
        for (int failures = 0; failures < 3; failures++) {
            breaker.onFailure(0);
        }
    }

    @Nested
    class Closed {
        /** Guards against a breaker that opens although successes occurred between the failures. */
        @Test
        void opensOnlyOnConsecutiveFailures() {
            breaker.onFailure(0);
            breaker.onFailure(0);
            breaker.onSuccess(0);
            breaker.onFailure(0);
            assertThat(breaker.state(0)).isEqualTo(CircuitBreaker.State.CLOSED);
            failThreeTimes();
            assertThat(breaker.tryAcquire(OPEN_NANOS - 1)).isFalse();
        }
    }

    @Nested
    class HalfOpen {
        /** Guards against a burst of requests to an upstream that may still be failing. */
        @Test
        void permitsOneProbeAtATime() {
            failThreeTimes();
            assertThat(breaker.tryAcquire(OPEN_NANOS)).isTrue();
            assertThat(breaker.tryAcquire(OPEN_NANOS)).isFalse();
            breaker.onSuccess(OPEN_NANOS);
            assertThat(breaker.tryAcquire(OPEN_NANOS)).isTrue();
        }

        /** Guards against an upstream that stays blocked because the result of a probe is lost. */
        @Test
        void permitsAnotherProbeWhenTheFirstIsLost() {
            failThreeTimes();
            breaker.tryAcquire(OPEN_NANOS);
            assertThat(breaker.tryAcquire(2 * OPEN_NANOS)).isTrue();
        }

        @Test
        void opensAgainWhenTheProbeFails() {
            failThreeTimes();
            breaker.tryAcquire(OPEN_NANOS);
            breaker.onFailure(OPEN_NANOS);
            assertThat(breaker.state(2 * OPEN_NANOS - 1)).isEqualTo(CircuitBreaker.State.OPEN);
        }
    }
}
