package org.masticcroft.gateway.config;

import java.time.Duration;

/**
 * Bounds on what callers send.
 *
 * @param maxHeaderBytes largest size of the request head
 * @param maxBodyBytes largest size of a request body
 * @param headerTimeout longest time between the first byte of a request and the end of its head
 * @param idleTimeout longest time that a connection stays open without a request
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Returns the bounds that hold until a configuration states others. */
    public static CallerLimits defaults() {
        return new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
    }
}
