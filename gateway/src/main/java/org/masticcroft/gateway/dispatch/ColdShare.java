package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import org.masticcroft.gateway.config.ColdLimits;

/**
 * Share of one entry in the requests that a cold upstream may receive from all entries. Entries share no clock, so all
 * of them may send at the same moment: with n entries, each sends at most bound / n requests, rounded down, in any
 * window. Within that limit, the requests of an entry are spaced so that all entries together keep to the rate that the
 * upstream tolerates.
 */
final class ColdShare {
    /** Window of the limit. It is longer than the second of the bound, because a send may be late on its connection. */
    static final Duration WINDOW = Duration.ofMillis(1100);

    /**
     * Fraction of the bound that the entries use. The rest is for requests of entries that are not counted, such as
     * those that have lost the contact to the sidecars for longer than a subscription lasts.
     */
    private static final double BOUND_FRACTION = 0.95;

    private static final double NANOS_PER_SECOND = 1e9;

    private final double usableBound;
    private final double requestsPerSecond;

    private ColdShare(double usableBound, double requestsPerSecond) {
        this.usableBound = usableBound;
        this.requestsPerSecond = requestsPerSecond;
    }

    /**
     * Returns the share of an entry.
     *
     * @param limits what the upstream tolerates
     * @param over ratio of the bound to the rate that the upstream tolerates
     * @param slack requests that the bound allows beyond that
     */
    static ColdShare of(ColdLimits limits, double over, double slack) {
        double usableBound = BOUND_FRACTION * (limits.requestsPerSecond() * over + slack);
        return new ColdShare(usableBound, Math.min(limits.requestsPerSecond(), usableBound));
    }

    /** Returns the largest number of entries that may send at all; with more of them, one request each is too much. */
    int maxEntries() {
        return (int) usableBound;
    }

    /** Returns the most requests that one of the given number of entries may send in a window; 0 with too many. */
    int maxInWindow(int entries) {
        return (int) (usableBound / entries);
    }

    /** Returns the least time between two requests of one of the given number of entries, in nanoseconds. */
    long spacingNanos(int entries) {
        double forRate = NANOS_PER_SECOND * entries / requestsPerSecond;
        double forWindow = (double) WINDOW.toNanos() / Math.max(1, maxInWindow(entries));
        return (long) Math.ceil(Math.max(forRate, forWindow));
    }
}
