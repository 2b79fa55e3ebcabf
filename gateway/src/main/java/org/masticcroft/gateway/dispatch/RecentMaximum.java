package org.masticcroft.gateway.dispatch;

import java.time.Duration;

/** Largest duration of the current and the previous window of time. */
final class RecentMaximum {
    private final long windowNanos;
    private long windowStartNanos;
    private Duration current = Duration.ZERO;
    private Duration previous = Duration.ZERO;

    private RecentMaximum(Duration window, long nowNanos) {
        this.windowNanos = window.toNanos();
        this.windowStartNanos = nowNanos;
    }

    /** Creates a maximum without values. */
    static RecentMaximum over(Duration window, long nowNanos) {
        return new RecentMaximum(window, nowNanos);
    }

    void record(Duration value, long nowNanos) {
        moveWindow(nowNanos);
        current = longer(current, value);
    }

    /** Returns the largest recent value; zero if there is none. */
    Duration value(long nowNanos) {
        moveWindow(nowNanos);
        return longer(current, previous);
    }

    private void moveWindow(long nowNanos) {
        long elapsedNanos = nowNanos - windowStartNanos;
        if (elapsedNanos < windowNanos) {
            return;
        }
        previous = elapsedNanos < 2 * windowNanos ? current : Duration.ZERO;
        current = Duration.ZERO;
        windowStartNanos = nowNanos;
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
