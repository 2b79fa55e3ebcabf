package org.masticcroft.kernel.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/**
 * Permits a small fixed number of retries in addition to a budget that is a share of the first attempts. With fewer
 * than ten first attempts in its window, such a budget permits no retry at all, and an entry with little traffic could
 * not retry a request of a failed upstream on another one.
 */
public final class RetryAllowance implements RetryBudget {
    private static final long WINDOW_NANOS = 10_000_000_000L;
    private static final int MAX_RETRIES_IN_WINDOW = 10;

    private final RetryBudget shareBudget;
    private final Deque<Long> retries = new ArrayDeque<>();

    private RetryAllowance(RetryBudget shareBudget) {
        this.shareBudget = shareBudget;
    }

    /** Creates an allowance of one retry per second on average, used when {@code shareBudget} is spent. */
    public static RetryBudget inAdditionTo(RetryBudget shareBudget) {
        return new RetryAllowance(Objects.requireNonNull(shareBudget, "shareBudget"));
    }

    @Override
    public void recordFirstAttempt(long nowNanos) {
        shareBudget.recordFirstAttempt(nowNanos);
    }

    @Override
    public synchronized boolean isAvailable(long nowNanos) {
        return shareBudget.isAvailable(nowNanos) || allowanceLeft(nowNanos);
    }

    @Override
    public synchronized boolean tryAcquire(long nowNanos) {
        return shareBudget.tryAcquire(nowNanos) || (allowanceLeft(nowNanos) && retries.add(nowNanos));
    }

    private boolean allowanceLeft(long nowNanos) {
        while (!retries.isEmpty() && nowNanos - retries.peekFirst() > WINDOW_NANOS) {
            retries.removeFirst();
        }
        return retries.size() < MAX_RETRIES_IN_WINDOW;
    }
}
