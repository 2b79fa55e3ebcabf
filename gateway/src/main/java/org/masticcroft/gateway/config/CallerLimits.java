package org.masticcroft.gateway.config;

import java.time.Duration;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of the request head
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeout maximum time from the first byte of a request to the end of its head
 * @param idleTimeout maximum time that a connection stays open without a request
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Returns the limits that apply unless a configuration sets others. */
    public static CallerLimits defaults() {
        return new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
    }
}
