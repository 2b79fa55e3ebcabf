package org.masticcroft.kernel.retry;

import java.time.Duration;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.kernel.plugin.Plugin;

/** Decides whether and when a failed attempt is tried again. Implementations are stateless. */
public interface RetryPolicy extends Plugin {
    /**
     * Returns the back-off before the next attempt, or empty if there must not be one.
     *
     * @param failure the failed attempt
     * @param budget the budget of the entry; the policy takes from it only when it decides for a retry
     * @param nowNanos monotonic time in nanoseconds
     * @param random source of jitter
     */
    Optional<Duration> nextBackOff(AttemptFailure failure, RetryBudget budget, long nowNanos, UniformRandomProvider random);
}
