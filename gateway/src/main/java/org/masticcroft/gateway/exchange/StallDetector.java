package org.masticcroft.gateway.exchange;

import java.time.Duration;
import org.masticcroft.gateway.config.Route;
import org.masticcroft.gateway.config.RouteKind;

/** Decides from the time without progress whether the response to a repeatable request has stalled. */
final class StallDetector {
    /** Time without any byte after which a busy upstream is considered dead; a sound one may pause for a second. */
    private static final Duration DEAD_UPSTREAM_TIMEOUT = Duration.ofMillis(1500);

    /** Time without a next event after which a stream has stalled, even if its upstream serves others. */
    private static final Duration NEXT_EVENT_TIMEOUT = Duration.ofMillis(1600);

    /**
     * Time without a first event after which a stream has stalled, even if its upstream is alive. An engine that gets
     * many prompts at once takes more than a second to prefill them.
     */
    private static final Duration FIRST_EVENT_TIMEOUT = Duration.ofMillis(2200);

    /** Minimum time without a response after which an idempotent request is sent to another upstream. */
    private static final Duration MIN_IDEMPOTENT_TIMEOUT = Duration.ofMillis(350);

    private StallDetector() {}

    /** Returns whether an attempt is not expected to be completed any more. */
    static boolean isStalled(Route route, UpstreamAttempt attempt, long nowNanos) {
        Duration stalled = attempt.timeSinceProgress(nowNanos);
        if (route.kind() == RouteKind.IDEMPOTENT) {
            Duration limit =
                    route.target().compareTo(MIN_IDEMPOTENT_TIMEOUT) > 0 ? route.target() : MIN_IDEMPOTENT_TIMEOUT;
            return stalled.compareTo(limit) > 0;
        }
        boolean dead = stalled.compareTo(DEAD_UPSTREAM_TIMEOUT) > 0
                && attempt.upstream().timeSinceLastByte(nowNanos).compareTo(DEAD_UPSTREAM_TIMEOUT) > 0
                && !attempt.upstream().reportedAlive(nowNanos);
        return dead || stalled.compareTo(attempt.firstByteReceived() ? NEXT_EVENT_TIMEOUT : FIRST_EVENT_TIMEOUT) > 0;
    }
}
