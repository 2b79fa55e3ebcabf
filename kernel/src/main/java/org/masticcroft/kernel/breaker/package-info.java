/** Circuit breakers, one per upstream. Start with {@link org.masticcroft.kernel.breaker.CircuitBreaker}. */
package org.masticcroft.kernel.breaker;
