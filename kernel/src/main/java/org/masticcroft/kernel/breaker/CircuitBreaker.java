package org.masticcroft.kernel.breaker;

/** Circuit breaker of one upstream. Thread-safe. Times are monotonic, in nanoseconds. */
public interface CircuitBreaker {
    /** Returns whether a request may be sent now. In the half-open state, the permitted request is the probe. */
    boolean tryAcquire(long nowNanos);

    /** Returns whether a request could be sent now, without using up the probe. */
    boolean isCallPermitted(long nowNanos);

    /** Records a successful request. */
    void onSuccess(long nowNanos);

    /** Records a request that failed because of the upstream. */
    void onFailure(long nowNanos);

    /** Returns the state at the given time. */
    State state(long nowNanos);

    /** State of a circuit breaker. */
    enum State {
        /** Requests are permitted. */
        CLOSED,
        /** Requests are blocked. */
        OPEN,
        /** One probe request at a time is permitted. */
        HALF_OPEN
    }
}
