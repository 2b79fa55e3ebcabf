package org.masticcroft.kernel.retry;

import java.time.Duration;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.kernel.error.ErrorCode;

/**
 * Retries upstream failures within the budget, after an exponential back-off with jitter. Resuming a preempted request
 * is not a retry and does not consume the budget.
 */
public final class BudgetedRetry implements RetryPolicy {
    static final int MAX_ATTEMPTS = 4;
    private static final long INITIAL_BACK_OFF_MILLIS = 50;
    private static final long MAX_BACK_OFF_MILLIS = 2_000;

    /** Creates the plug-in; used by the service loader. */
    public BudgetedRetry() {}

    @Override
    public String name() {
        return "budgeted";
    }

    @Override
    public Optional<Duration> nextBackOff(
            AttemptFailure failure, RetryBudget budget, long nowNanos, UniformRandomProvider random) {
        if (!RetryRules.isSafe(failure) || !RetryRules.isUpstreamFault(failure.code())) {
            return Optional.empty();
        }
        Duration backOff = backOff(failure.attempt(), random);
        if (backOff.compareTo(failure.remaining()) >= 0) {
            return Optional.empty();
        }
        if (failure.code() == ErrorCode.PREEMPTED) {
            return Optional.of(backOff);
        }
        return failure.attempt() < MAX_ATTEMPTS && budget.tryAcquire(nowNanos)
                ? Optional.of(backOff)
                : Optional.empty();
    }

    /** Returns a random time between half and all of the exponential back-off, so that retries do not synchronise. */
    private static Duration backOff(int attempt, UniformRandomProvider random) {
        int doublings = Math.min(Math.max(attempt, 1) - 1, 10);
        long millis = Math.min(INITIAL_BACK_OFF_MILLIS << doublings, MAX_BACK_OFF_MILLIS);
        return Duration.ofMillis(millis / 2 + random.nextLong(millis / 2 + 1));
    }
}
