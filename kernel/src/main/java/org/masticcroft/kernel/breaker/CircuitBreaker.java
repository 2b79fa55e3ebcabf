package org.masticcroft.kernel.breaker;

/** Circuit breaker of one upstream. Safe for use by many threads. */
public interface CircuitBreaker {
    /** Returns whether a request may be sent now; in the half-open state it takes the probe. */
    boolean tryAcquire(long nowNanos);

    /** Returns whether a request could be sent now, without taking the probe. */
    boolean isCallPermitted(long nowNanos);

    /** Records a success. */
    void onSuccess(long nowNanos);

    /** Records a failure that the upstream caused. */
    void onFailure(long nowNanos);

    /** Returns the state at the given time. */
    State state(long nowNanos);

    /** State of a circuit breaker. */
    enum State {
        CLOSED,
        OPEN,
        HALF_OPEN
    }
}
