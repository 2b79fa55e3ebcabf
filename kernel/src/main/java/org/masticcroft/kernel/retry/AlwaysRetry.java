package org.masticcroft.kernel.retry;

import java.time.Duration;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/** Baseline policy: retries every safe upstream failure after 1 ms until the deadline, without a budget. */
public final class AlwaysRetry implements RetryPolicy {
    private static final Duration BACK_OFF = Duration.ofMillis(1);

    /** Creates the plug-in; used by the service loader. */
    public AlwaysRetry() {}

    @Override
    public String name() {
        return "always";
    }

    @Override
    public Optional<Duration> nextBackOff(
            AttemptFailure failure, RetryBudget budget, long nowNanos, UniformRandomProvider random) {
        boolean retry = RetryRules.isSafe(failure)
                && RetryRules.isUpstreamFault(failure.code())
                && BACK_OFF.compareTo(failure.remaining()) < 0;
        return retry ? Optional.of(BACK_OFF) : Optional.empty();
    }
}
