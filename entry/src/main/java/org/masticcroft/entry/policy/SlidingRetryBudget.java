package org.masticcroft.entry.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import org.masticcroft.kernel.retry.RetryBudget;

/**
 * Retries as a share of the first attempts of the last 10 s. A small allowance lets an entry with little traffic retry
 * at all.
 */
public final class SlidingRetryBudget implements RetryBudget {
    private static final long WINDOW_NANOS = 10_000_000_000L;
    private static final int FIRST_ATTEMPTS_PER_RETRY = 10;
    private static final int ALLOWANCE = 10;

    private final Deque<Long> firstAttempts = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    private SlidingRetryBudget() {}

    /** Creates a budget without history. */
    public static RetryBudget empty() {
        return new SlidingRetryBudget();
    }

    @Override
    public synchronized void recordFirstAttempt(long nowNanos) {
        forget(nowNanos);
        firstAttempts.addLast(nowNanos);
    }

    @Override
    public synchronized boolean tryRetry(long nowNanos) {
        forget(nowNanos);
        boolean allowed = retries.size() < ALLOWANCE + firstAttempts.size() / FIRST_ATTEMPTS_PER_RETRY;
        if (allowed) {
            retries.addLast(nowNanos);
        }
        return allowed;
    }

    private void forget(long nowNanos) {
        forget(firstAttempts, nowNanos);
        forget(retries, nowNanos);
    }

    private static void forget(Deque<Long> times, long nowNanos) {
        while (!times.isEmpty() && nowNanos - times.peekFirst() > WINDOW_NANOS) {
            times.removeFirst();
        }
    }
}
