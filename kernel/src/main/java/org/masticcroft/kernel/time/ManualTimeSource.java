package org.masticcroft.kernel.time;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/** Time source that moves only when told to, for tests and trace replay. */
public final class ManualTimeSource implements TimeSource {
    private Instant wall;
    private long nanos;

    private ManualTimeSource(Instant wall) {
        this.wall = wall;
    }

    /** Creates a time source that starts at {@code start}, with monotonic time 0. */
    public static ManualTimeSource of(Instant start) {
        return new ManualTimeSource(Objects.requireNonNull(start, "start"));
    }

    @Override
    public synchronized Instant now() {
        return wall;
    }

    @Override
    public synchronized long nanoTime() {
        return nanos;
    }

    /** Moves both clocks forward. */
    public synchronized void advance(Duration step) {
        wall = wall.plus(step);
        nanos += step.toNanos();
    }

    /** Steps the wall clock only, as a correction by a time service would. */
    public synchronized void stepWallClock(Duration step) {
        wall = wall.plus(step);
    }
}
