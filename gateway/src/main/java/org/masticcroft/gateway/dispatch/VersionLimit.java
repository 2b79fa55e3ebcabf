package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.OptionalLong;

/** The oldest version of the weights that may serve a request. It depends on when an engine begins the request. */
@FunctionalInterface
public interface VersionLimit {
    /**
     * Returns the oldest version that may serve a request; empty if any version may.
     *
     * @param untilBegin time from now until an engine begins the request
     */
    OptionalLong oldestAllowed(Duration untilBegin);

    /** Returns a limit that allows every version. */
    static VersionLimit none() {
        return untilBegin -> OptionalLong.empty();
    }
}
