package org.masticcroft.entry.upstream;

import org.masticcroft.kernel.breaker.CircuitBreaker;

/** Creates the circuit breaker of an upstream. */
@FunctionalInterface
public interface BreakerFactory {
    /** Returns a new closed circuit breaker for the named upstream. */
    CircuitBreaker create(String upstream);
}
