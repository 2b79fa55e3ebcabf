package org.masticcroft.kernel.retry;

/** Limits the number of retries relative to the number of first attempts. Thread-safe. */
public interface RetryBudget {
    /** Records the first attempt of a request. */
    void recordFirstAttempt(long nowNanos);

    /** Returns whether a retry could be taken from the budget. */
    boolean isAvailable(long nowNanos);

    /** Takes one retry from the budget. Returns false if the budget is spent. */
    boolean tryAcquire(long nowNanos);
}
