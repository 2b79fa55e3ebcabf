package org.masticcroft.gateway.fleet;

import java.time.Duration;
import org.masticcroft.kernel.time.TimeSource;

/**
 * How long ago the store confirmed what this process knows. The monotonic clock stands still while a machine is
 * suspended, so a jump of the wall clock ahead of it voids the confirmation until the next one.
 */
public final class StoreFreshness {
    /** Jump that counts as a suspension; the wall clock is corrected by less than that. */
    private static final long SUSPENSION_MILLIS = 400;

    private final TimeSource time;
    private boolean confirmed;
    private long confirmedNanos;
    private long wallMillis;
    private long checkedNanos;

    private StoreFreshness(TimeSource time) {
        this.time = time;
        this.wallMillis = time.now().toEpochMilli();
        this.checkedNanos = time.nanoTime();
    }

    /** Creates the state of a process that had no contact yet. */
    public static StoreFreshness unconfirmed(TimeSource time) {
        return new StoreFreshness(time);
    }

    /** Records that the store confirmed at the given monotonic time, or later, that nothing newer exists. */
    public void confirmedAt(long nanos) {
        if (!confirmed || nanos - confirmedNanos > 0) {
            confirmed = true;
            confirmedNanos = nanos;
        }
    }

    /**
     * Compares the clocks.
     *
     * @return whether the machine seems to have been suspended since the last call; the confirmation is void then
     */
    public boolean detectSuspension() {
        long wall = time.now().toEpochMilli();
        long nanos = time.nanoTime();
        long ahead = wall - wallMillis - (nanos - checkedNanos) / 1_000_000;
        wallMillis = wall;
        checkedNanos = nanos;
        if (ahead < SUSPENSION_MILLIS) {
            return false;
        }
        confirmed = false;
        return true;
    }

    /** Returns the time since the last confirmation; a very long time if there is none. */
    public Duration age() {
        return confirmed ? time.since(confirmedNanos) : Duration.ofDays(1);
    }
}
