package org.masticcroft.entry.policy;

import java.time.Duration;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.kernel.retry.AttemptFailure;
import org.masticcroft.kernel.retry.RetryBudget;
import org.masticcroft.kernel.retry.RetryPolicy;

/** Fallback retry policy: a few retries without back-off, within the retry budget. */
final class ImmediateRetryPolicy implements RetryPolicy {
    private static final int MAX_ATTEMPTS = 3;

    @Override
    public String name() {
        return "entry-immediate";
    }

    @Override
    public Optional<Duration> nextBackOff(
            AttemptFailure failure, RetryBudget budget, long nowNanos, UniformRandomProvider random) {
        boolean safe = failure.verdict().permitsRetry(failure.idempotent())
                && (!failure.answerStarted() || failure.resumable());
        return safe && failure.attempt() < MAX_ATTEMPTS && budget.tryAcquire(nowNanos)
                ? Optional.of(Duration.ZERO)
                : Optional.empty();
    }
}
