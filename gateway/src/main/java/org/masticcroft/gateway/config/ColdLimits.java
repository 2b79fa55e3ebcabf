package org.masticcroft.gateway.config;

import java.time.Duration;
import java.util.Objects;

/**
 * What a service tolerates while one of its upstreams is cold.
 *
 * @param time time for which an upstream is cold after its start
 * @param requestsPerSecond requests per second that a cold upstream tolerates from all callers; 0 if it is never cold
 */
public record ColdLimits(Duration time, double requestsPerSecond) {
    private static final ColdLimits NONE = new ColdLimits(Duration.ZERO, 0);

    public ColdLimits {
        Objects.requireNonNull(time, "time");
    }

    /** Returns the limits of a service whose upstreams are never cold. */
    public static ColdLimits none() {
        return NONE;
    }

    /** Returns whether upstreams of the service may be cold. */
    public boolean limited() {
        return requestsPerSecond > 0;
    }
}
