package org.masticcroft.kernel.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryAllowanceTest {
    private final RetryBudget budget = RetryAllowance.inAdditionTo(SlidingRetryBudget.of());

    private long permittedRetries(int retries, long nowNanos) {
        return IntStream.range(0, retries)
                .filter(i -> budget.tryAcquire(nowNanos))
                .count();
    }

    @Nested
    class Retries {
        /** Guards against an entry with little traffic that cannot retry a request of a failed upstream. */
        @Test
        void arePermittedWithoutMuchTraffic() {
            budget.recordFirstAttempt(0);
            assertThat(budget.tryAcquire(0)).isTrue();
        }

        /** Guards against a retry storm while all upstreams fail. */
        @Test
        void areBoundedByShareAndAllowance() {
            for (int i = 0; i < 200; i++) {
                budget.recordFirstAttempt(0);
            }
            assertThat(permittedRetries(100, 0)).isEqualTo(30);
            assertThat(permittedRetries(100, Duration.ofSeconds(11).toNanos())).isEqualTo(10);
        }

        /** Guards against an answer that is given up for a retry that the budget does not permit. */
        @Test
        void areAvailableExactlyWhenOneIsPermitted() {
            for (int i = 0; i < 50; i++) {
                budget.recordFirstAttempt(0);
            }
            for (int i = 0; i < 30; i++) {
                boolean available = budget.isAvailable(0);
                assertThat(budget.tryAcquire(0)).isEqualTo(available);
            }
            assertThat(budget.isAvailable(0)).isFalse();
            assertThat(budget.isAvailable(Duration.ofSeconds(11).toNanos())).isTrue();
        }
    }
}
