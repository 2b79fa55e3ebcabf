package org.masticcroft.kernel.time;

import java.time.Duration;
import java.time.Instant;

/** Source of wall-clock and monotonic time. */
public interface TimeSource {
    /** Returns the wall-clock time. It may step; use it for records and for times shared between processes. */
    Instant now();

    /** Returns monotonic time in nanoseconds from an arbitrary origin. Use it for timeouts and durations. */
    long nanoTime();

    /** Returns the monotonic time that has passed since {@code startNanos}. */
    default Duration since(long startNanos) {
        return Duration.ofNanos(nanoTime() - startNanos);
    }

    /** Returns the time source of this machine. */
    static TimeSource system() {
        return SystemTimeSource.INSTANCE;
    }
}
