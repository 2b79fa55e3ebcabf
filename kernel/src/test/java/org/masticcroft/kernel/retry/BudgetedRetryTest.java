package org.masticcroft.kernel.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.verdict.Verdict;

class BudgetedRetryTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Guards against retries beyond 10 % of the first attempts in the 10 s before any retry. */
    @Property(seed = "17", tries = 200)
    void budgetKeepsItsShareInTheWindowBeforeARetry(
            @ForAll @Size(max = 300) List<@IntRange(max = 400) Integer> gapsMillis) {
        RetryBudget budget = SlidingRetryBudget.of();
        List<Long> firstAttempts = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long now = 0;
        for (int gap : gapsMillis) {
            now += gap * NANOS_PER_MILLI;
            firstAttempts.add(now);
            budget.recordFirstAttempt(now);
            if (budget.tryAcquire(now)) {
                retries.add(now);
                long windowStart = now - Duration.ofSeconds(10).toNanos();
                long firstAttemptsInWindow = firstAttempts.stream()
                        .filter(time -> time > windowStart)
                        .count();
                long retriesInWindow =
                        retries.stream().filter(time -> time > windowStart).count();
                assertThat(retriesInWindow).isLessThanOrEqualTo(firstAttemptsInWindow / 10);
            }
        }
    }

    @Nested
    class Decision {
        private final RetryBudget unlimited = new RetryBudget() {
            @Override
            public void recordFirstAttempt(long nowNanos) {
                // An unlimited budget needs no count.
            }

            @Override
            public boolean isAvailable(long nowNanos) {
                return true;
            }

            @Override
            public boolean tryAcquire(long nowNanos) {
                return true;
            }
        };

        private boolean isRetried(Verdict verdict, ErrorCode code, boolean idempotent, boolean answerStarted) {
            AttemptFailure failure =
                    new AttemptFailure(1, verdict, code, idempotent, answerStarted, false, Duration.ofSeconds(5));
            return new BudgetedRetry()
                    .nextBackOff(failure, unlimited, 0, RandomSource.SPLIT_MIX_64.create(1L))
                    .isPresent();
        }

        /** Guards against an order, which is not idempotent, that runs twice. */
        @Test
        void neverRetriesWhatMayHaveRunUnlessIdempotent() {
            assertThat(isRetried(Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_CRASHED, false, false))
                    .isFalse();
            assertThat(isRetried(Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_CRASHED, true, false))
                    .isTrue();
            assertThat(isRetried(Verdict.NOT_RUN, ErrorCode.BUSY, false, false)).isTrue();
        }

        /** Guards against a caller that receives a part of the answer twice. */
        @Test
        void neverRestartsAnAnswerThatHasBegun() {
            assertThat(isRetried(Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_CRASHED, true, true))
                    .isFalse();
        }

        /** Guards against retries of requests that every upstream rejects. */
        @Test
        void doesNotRetryInvalidRequests() {
            assertThat(isRetried(Verdict.NOT_RUN, ErrorCode.MALFORMED_REQUEST, true, false))
                    .isFalse();
        }
    }
}
