package org.masticcroft.kernel.breaker;

import java.time.Duration;

/** Opens after consecutive failures. After a fixed time, permits one probe request at a time until one succeeds. */
public final class ConsecutiveFailureBreaker implements CircuitBreaker {
    private static final int DEFAULT_MAX_FAILURES = 5;
    private static final Duration DEFAULT_OPEN_TIME = Duration.ofSeconds(2);

    private final int maxFailures;
    private final long openNanos;
    private int consecutiveFailures;
    private boolean open;
    private long openedNanos;
    private boolean probeInFlight;
    private long probeStartNanos;

    private ConsecutiveFailureBreaker(int maxFailures, Duration openTime) {
        this.maxFailures = maxFailures;
        this.openNanos = openTime.toNanos();
    }

    /** Creates a closed breaker that opens for 2 s after 5 failures. */
    public static ConsecutiveFailureBreaker of() {
        return of(DEFAULT_MAX_FAILURES, DEFAULT_OPEN_TIME);
    }

    /**
     * Creates a closed breaker.
     *
     * @param maxFailures consecutive failures after which the breaker opens, at least 1
     * @param openTime time after which an open breaker permits a probe; also the time after which a probe without a
     *     result is considered lost and another one is permitted
     */
    public static ConsecutiveFailureBreaker of(int maxFailures, Duration openTime) {
        if (maxFailures < 1 || openTime.isNegative() || openTime.isZero()) {
            throw new IllegalArgumentException(
                    "maxFailures must be at least 1 and openTime positive: " + maxFailures + ", " + openTime);
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
            case HALF_OPEN -> !probeInFlight || nowNanos - probeStartNanos >= openNanos;
        };
    }

    @Override
    public synchronized boolean tryAcquire(long nowNanos) {
        boolean permitted = isCallPermitted(nowNanos);
        if (permitted && open) {
            probeInFlight = true;
            probeStartNanos = nowNanos;
        }
        return permitted;
    }

    /** Closes the breaker, unless it is open: such a success belongs to a request sent before the breaker opened. */
    @Override
    public synchronized void onSuccess(long nowNanos) {
        if (state(nowNanos) != State.OPEN) {
            open = false;
            probeInFlight = false;
            consecutiveFailures = 0;
        }
    }

    @Override
    public synchronized void onFailure(long nowNanos) {
        State state = state(nowNanos);
        consecutiveFailures++;
        if (state == State.HALF_OPEN || state == State.CLOSED && consecutiveFailures >= maxFailures) {
            open = true;
            probeInFlight = false;
            openedNanos = nowNanos;
        }
    }
}
