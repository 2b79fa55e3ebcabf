package org.masticcroft.gateway.exchange;

import java.time.Duration;
import org.masticcroft.gateway.config.Route;
import org.masticcroft.gateway.config.RouteKind;

/** Says from the silence of an upstream whether the answer to a request that may be repeated is lost. */
final class StallDetector {
    /** Silence after which an upstream that owes an answer is taken as dead; its events come every 50 to 200 ms. */
    private static final Duration DEAD_SILENCE = Duration.ofMillis(900);

    /** Time without a byte after which one stream is taken as lost although its upstream serves others. */
    private static final Duration LOST_SILENCE = Duration.ofMillis(1600);

    /**
     * Time without a first byte after which one stream is taken as lost although its upstream lives. An engine that
     * gets many prompts at once reads them for more than a second.
     */
    private static final Duration UNANSWERED_SILENCE = Duration.ofMillis(2200);

    /** Shortest time without an answer after which an idempotent request is sent to another upstream. */
    private static final Duration PLAIN_SILENCE = Duration.ofMillis(350);

    private StallDetector() {}

    /** Returns whether the answer of an attempt is not to be expected any more. */
    static boolean isStalled(Route route, UpstreamAttempt attempt, long nowNanos) {
        Duration own = attempt.silence(nowNanos);
        if (route.kind() == RouteKind.IDEMPOTENT) {
            Duration limit = route.target().compareTo(PLAIN_SILENCE) > 0 ? route.target() : PLAIN_SILENCE;
            return own.compareTo(limit) > 0;
        }
        boolean dead = own.compareTo(DEAD_SILENCE) > 0
                && attempt.upstream().silence(nowNanos).compareTo(DEAD_SILENCE) > 0
                && !attempt.upstream().seenAlive(nowNanos);
        return dead || own.compareTo(attempt.answered() ? LOST_SILENCE : UNANSWERED_SILENCE) > 0;
    }
}
