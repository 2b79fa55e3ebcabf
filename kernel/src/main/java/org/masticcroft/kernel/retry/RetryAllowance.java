package org.masticcroft.kernel.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/**
 * Adds a small allowance to a budget that is a share of first attempts. With less than ten first attempts in its window
 * such a budget permits no retry at all, and an entry with little traffic could not pass a request of a dead upstream
 * on to another one.
 */
public final class RetryAllowance implements RetryBudget {
    private static final long WINDOW_NANOS = 10_000_000_000L;
    private static final int RETRIES_IN_WINDOW = 10;

    private final RetryBudget share;
    private final Deque<Long> retries = new ArrayDeque<>();

    private RetryAllowance(RetryBudget share) {
        this.share = share;
    }

    /** Creates an allowance of one retry a second on average, used after {@code share} is spent. */
    public static RetryBudget inAdditionTo(RetryBudget share) {
        return new RetryAllowance(Objects.requireNonNull(share, "share"));
    }

    @Override
    public void recordFirstAttempt(long nowNanos) {
        share.recordFirstAttempt(nowNanos);
    }

    @Override
    public synchronized boolean tryAcquire(long nowNanos) {
        if (share.tryAcquire(nowNanos)) {
            return true;
        }
        while (!retries.isEmpty() && nowNanos - retries.peekFirst() > WINDOW_NANOS) {
            retries.removeFirst();
        }
        return retries.size() < RETRIES_IN_WINDOW && retries.add(nowNanos);
    }
}
