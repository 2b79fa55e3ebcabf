package org.masticcroft.kernel.time;

import java.time.Duration;
import java.time.Instant;

/** Source of wall-clock and monotonic time. */
public interface TimeSource {
    /** Returns the wall-clock time, which may step. Use it for records and for times shared between processes. */
    Instant now();

    /** Returns the monotonic time in nanoseconds since an arbitrary origin. Use it for timeouts and durations. */
    long nanoTime();

    /** Returns the time elapsed since the monotonic time {@code startNanos}. */
    default Duration since(long startNanos) {
        return Duration.ofNanos(nanoTime() - startNanos);
    }

    /** Returns the time source backed by the clocks of this machine. */
    static TimeSource system() {
        return SystemTimeSource.INSTANCE;
    }
}
