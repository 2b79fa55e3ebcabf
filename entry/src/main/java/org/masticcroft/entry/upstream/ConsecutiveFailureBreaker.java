package org.masticcroft.entry.upstream;

import org.masticcroft.kernel.breaker.CircuitBreaker;

/** Circuit breaker that opens on consecutive failures and half-opens with one probe. */
public final class ConsecutiveFailureBreaker implements CircuitBreaker {
    private static final int FAILURES_UNTIL_OPEN = 3;
    private static final long OPEN_NANOS = 2_000_000_000L;

    private int failures;
    private long openedNanos;
    private boolean probing;

    private ConsecutiveFailureBreaker() {}

    /** Creates a closed circuit breaker. */
    public static CircuitBreaker closed() {
        return new ConsecutiveFailureBreaker();
    }

    @Override
    public synchronized boolean tryAcquire(long nowNanos) {
        boolean permitted = isCallPermitted(nowNanos);
        probing |= permitted && state(nowNanos) == State.HALF_OPEN;
        return permitted;
    }

    @Override
    public synchronized boolean isCallPermitted(long nowNanos) {
        State state = state(nowNanos);
        return state == State.CLOSED || state == State.HALF_OPEN && !probing;
    }

    @Override
    public synchronized void onSuccess(long nowNanos) {
        failures = 0;
        probing = false;
    }

    @Override
    public synchronized void onFailure(long nowNanos) {
        failures++;
        probing = false;
        openedNanos = nowNanos;
    }

    @Override
    public synchronized State state(long nowNanos) {
        if (failures < FAILURES_UNTIL_OPEN) {
            return State.CLOSED;
        }
        return probing || nowNanos - openedNanos >= OPEN_NANOS ? State.HALF_OPEN : State.OPEN;
    }
}
