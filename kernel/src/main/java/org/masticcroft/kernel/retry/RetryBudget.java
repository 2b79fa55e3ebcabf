package org.masticcroft.kernel.retry;

/** Limits retries to a share of first attempts. Safe for use by many threads. */
public interface RetryBudget {
    /** Records a first attempt. */
    void recordFirstAttempt(long nowNanos);

    /** Takes one retry from the budget; returns false if the budget is spent. */
    boolean tryAcquire(long nowNanos);
}
