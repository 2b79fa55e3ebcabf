package org.masticcroft.gateway.weights;

import java.time.Duration;
import java.time.Instant;
import org.masticcroft.kernel.time.TimeSource;

/**
 * A point in time on both clocks of a machine. The monotonic clock does not count a suspension, and the wall clock may
 * be set back.
 *
 * @param nanos monotonic time
 * @param wall wall-clock time
 */
record Moment(long nanos, Instant wall) {
    static Moment now(TimeSource time) {
        return new Moment(time.nanoTime(), time.now());
    }

    /** Returns the time that has passed since then, by the clock that counts more. */
    Duration age(TimeSource time) {
        Duration monotonic = time.since(nanos);
        Duration byWallClock = Duration.between(wall, time.now());
        return monotonic.compareTo(byWallClock) > 0 ? monotonic : byWallClock;
    }
}
