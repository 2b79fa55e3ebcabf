package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Recent delays of the paths from this entry to the data centres. A link between regions that is full delays requests,
 * and the resets of withdrawn ones, by as much as the handshakes of connections. Used on the event loop only.
 */
public final class PathDelays {
    /** Length of the windows in which the longest delay is kept; the queue of a link empties within seconds. */
    private static final Duration WINDOW = Duration.ofSeconds(2);

    private final Map<String, RecentMaximum> longestByDataCentre = new HashMap<>();

    private PathDelays() {}

    /** Creates delays of paths that have not been used yet. */
    public static PathDelays unknown() {
        return new PathDelays();
    }

    /**
     * Records that a connection was established.
     *
     * @param dataCentre data centre of the upstream
     * @param handshake time from the choice of the upstream until the connection was established
     * @param nowNanos monotonic time in nanoseconds
     */
    public void record(String dataCentre, Duration handshake, long nowNanos) {
        longestByDataCentre
                .computeIfAbsent(dataCentre, name -> RecentMaximum.over(WINDOW, nowNanos))
                .record(handshake, nowNanos);
    }

    /** Returns the longest recent handshake with an upstream of a data centre; zero if there was none. */
    public Duration longest(String dataCentre, long nowNanos) {
        RecentMaximum longest = longestByDataCentre.get(dataCentre);
        return longest == null ? Duration.ZERO : longest.value(nowNanos);
    }
}
