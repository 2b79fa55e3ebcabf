package org.masticcroft.kernel.breaker;

import java.time.Duration;

/** Opens after consecutive failures and, after a fixed time, lets one probe at a time through until one succeeds. */
public final class ConsecutiveFailureBreaker implements CircuitBreaker {
    private static final int DEFAULT_FAILURES = 5;
    private static final Duration DEFAULT_OPEN_TIME = Duration.ofSeconds(2);

    private final int maxFailures;
    private final long openNanos;
    private int failures;
    private boolean open;
    private long openedNanos;
    private boolean probing;
    private long probedNanos;

    private ConsecutiveFailureBreaker(int maxFailures, Duration openTime) {
        this.maxFailures = maxFailures;
        this.openNanos = openTime.toNanos();
    }

    /** Creates a closed breaker that opens for 2 s after 5 failures. */
    public static ConsecutiveFailureBreaker of() {
        return of(DEFAULT_FAILURES, DEFAULT_OPEN_TIME);
    }

    /**
     * Creates a closed breaker.
     *
     * @param maxFailures consecutive failures after which the breaker opens, at least 1
     * @param openTime time after which a probe is permitted; also the time after which a probe without result is
     *     considered lost
     */
    public static ConsecutiveFailureBreaker of(int maxFailures, Duration openTime) {
        if (maxFailures < 1 || openTime.isNegative() || openTime.isZero()) {
            throw new IllegalArgumentException(
                    "a circuit breaker needs at least 1 failure and a positive time: " + maxFailures + ", " + openTime);
        }
        return new ConsecutiveFailureBreaker(maxFailures, openTime);
    }

    @Override
    public synchronized State state(long nowNanos) {
        if (!open) {
            return State.CLOSED;
        }
        return nowNanos - openedNanos >= openNanos ? State.HALF_OPEN : State.OPEN;
    }

    @Override
    public synchronized boolean isCallPermitted(long nowNanos) {
        return switch (state(nowNanos)) {
            case CLOSED -> true;
            case OPEN -> false;
            case HALF_OPEN -> !probing || nowNanos - probedNanos >= openNanos;
        };
    }

    @Override
    public synchronized boolean tryAcquire(long nowNanos) {
        boolean permitted = isCallPermitted(nowNanos);
        if (permitted && open) {
            probing = true;
            probedNanos = nowNanos;
        }
        return permitted;
    }

    /** Closes the breaker, except while it is open: then the success belongs to a call from before it opened. */
    @Override
    public synchronized void onSuccess(long nowNanos) {
        if (state(nowNanos) != State.OPEN) {
            open = false;
            probing = false;
            failures = 0;
        }
    }

    @Override
    public synchronized void onFailure(long nowNanos) {
        State state = state(nowNanos);
        failures++;
        if (state == State.HALF_OPEN || state == State.CLOSED && failures >= maxFailures) {
            open = true;
            probing = false;
            openedNanos = nowNanos;
        }
    }
}
