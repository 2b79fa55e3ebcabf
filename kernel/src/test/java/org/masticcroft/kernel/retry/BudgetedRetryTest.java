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
    private static final long MILLI = 1_000_000;

    /** Guards against retries beyond 10 % of the first attempts in the 10 s before any retry. */
    @Property(seed = "17", tries = 200)
    void budgetKeepsItsShareInTheWindowBeforeARetry(
            @ForAll @Size(max = 300) List<@IntRange(max = 400) Integer> gapsMillis) {
        RetryBudget budget = SlidingRetryBudget.of();
        List<Long> firsts = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long now = 0;
        for (int gap : gapsMillis) {
            now += gap * MILLI;
            firsts.add(now);
            budget.recordFirstAttempt(now);
            if (budget.tryAcquire(now)) {
                retries.add(now);
                long from = now - Duration.ofSeconds(10).toNanos();
                long firstsInWindow =
                        firsts.stream().filter(time -> time > from).count();
                long retriesInWindow =
                        retries.stream().filter(time -> time > from).count();
                assertThat(retriesInWindow).isLessThanOrEqualTo(firstsInWindow / 10);
            }
        }
    }

    @Nested
    class Decision {
        private final RetryBudget plenty = new RetryBudget() {
            @Override
            public void recordFirstAttempt(long nowNanos) {
                // Nothing to limit.
            }

            @Override
            public boolean tryAcquire(long nowNanos) {
                return true;
            }
        };

        private boolean retries(Verdict verdict, ErrorCode code, boolean idempotent, boolean started) {
            AttemptFailure failure =
                    new AttemptFailure(1, verdict, code, idempotent, started, false, Duration.ofSeconds(5));
            return new BudgetedRetry()
                    .nextBackOff(failure, plenty, 0, RandomSource.SPLIT_MIX_64.create(1L))
                    .isPresent();
        }

        /** Guards against a non-idempotent order that runs twice. */
        @Test
        void neverRepeatsWhatMayHaveRunUnlessIdempotent() {
            assertThat(retries(Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_CRASHED, false, false))
                    .isFalse();
            assertThat(retries(Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_CRASHED, true, false))
                    .isTrue();
            assertThat(retries(Verdict.NOT_RUN, ErrorCode.BUSY, false, false)).isTrue();
        }

        /** Guards against a caller that receives a part of the answer twice. */
        @Test
        void neverRestartsAnAnswerThatHasBegun() {
            assertThat(retries(Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_CRASHED, true, true))
                    .isFalse();
        }

        /** Guards against retries of requests that every upstream refuses. */
        @Test
        void ignoresFaultsOfTheRequest() {
            assertThat(retries(Verdict.NOT_RUN, ErrorCode.MALFORMED_REQUEST, true, false))
                    .isFalse();
        }
    }
}
