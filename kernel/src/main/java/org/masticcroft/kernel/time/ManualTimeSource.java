package org.masticcroft.kernel.time;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/** Time source that advances only by explicit calls, for tests and trace replay. */
public final class ManualTimeSource implements TimeSource {
    private Instant wallClock;
    private long monotonicNanos;

    private ManualTimeSource(Instant wallClock) {
        this.wallClock = wallClock;
    }

    /** Creates a time source that starts at {@code start}, with monotonic time 0. */
    public static ManualTimeSource of(Instant start) {
        return new ManualTimeSource(Objects.requireNonNull(start, "start"));
    }

    @Override
    public synchronized Instant now() {
        return wallClock;
    }

    @Override
    public synchronized long nanoTime() {
        return monotonicNanos;
    }

    /** Advances the wall clock and the monotonic clock. */
    public synchronized void advance(Duration step) {
        wallClock = wallClock.plus(step);
        monotonicNanos += step.toNanos();
    }

    /** Steps only the wall clock, as a clock correction by NTP does. */
    public synchronized void stepWallClock(Duration step) {
        wallClock = wallClock.plus(step);
    }
}
