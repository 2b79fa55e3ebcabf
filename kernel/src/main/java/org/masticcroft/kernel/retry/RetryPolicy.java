package org.masticcroft.kernel.retry;

import java.time.Duration;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.kernel.plugin.Plugin;

/** Decides whether and when a failed attempt is retried. Implementations are stateless. */
public interface RetryPolicy extends Plugin {
    /**
     * Returns the back-off before the next attempt, or empty if the request must not be retried.
     *
     * @param failure the failed attempt
     * @param budget retry budget of the entry; the policy takes a retry from it only if it decides to retry
     * @param nowNanos monotonic time in nanoseconds
     * @param random random number generator for the jitter
     */
    Optional<Duration> nextBackOff(
            AttemptFailure failure, RetryBudget budget, long nowNanos, UniformRandomProvider random);
}
