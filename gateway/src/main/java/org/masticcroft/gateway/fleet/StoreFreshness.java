package org.masticcroft.gateway.fleet;

import java.time.Duration;
import org.masticcroft.kernel.time.TimeSource;

/**
 * How long ago the store confirmed that this process knows its newest records. The monotonic clock stops while a
 * machine is suspended, so a forward jump of the wall clock relative to it voids the confirmation until the next one.
 */
public final class StoreFreshness {
    /** Smallest jump of the wall clock that counts as a suspension; clock corrections are smaller than that. */
    private static final long MIN_SUSPENSION_MILLIS = 400;

    private final TimeSource time;
    private boolean confirmed;
    private long confirmedNanos;
    private long checkedWallMillis;
    private long checkedNanos;

    private StoreFreshness(TimeSource time) {
        this.time = time;
        this.checkedWallMillis = time.now().toEpochMilli();
        this.checkedNanos = time.nanoTime();
    }

    /** Creates the state of a process to which the store has not confirmed anything yet. */
    public static StoreFreshness unconfirmed(TimeSource time) {
        return new StoreFreshness(time);
    }

    /** Records that the store confirmed, at a monotonic time or later, that it held no newer records. */
    public void confirmedAt(long nanos) {
        if (!confirmed || nanos - confirmedNanos > 0) {
            confirmed = true;
            confirmedNanos = nanos;
        }
    }

    /**
     * Compares the wall clock with the monotonic clock.
     *
     * @return whether the machine seems to have been suspended since the last call; if so, the confirmation is void
     */
    public boolean detectSuspension() {
        boolean suspended = suspendedSinceCheck();
        checkedWallMillis = time.now().toEpochMilli();
        checkedNanos = time.nanoTime();
        if (suspended) {
            confirmed = false;
        }
        return suspended;
    }

    /** Returns the time since the last confirmation; one day if there is none or a suspension has voided it. */
    public Duration age() {
        return confirmed && !suspendedSinceCheck() ? time.since(confirmedNanos) : Duration.ofDays(1);
    }

    private boolean suspendedSinceCheck() {
        long wallMillis = time.now().toEpochMilli() - checkedWallMillis;
        long monotonicMillis = (time.nanoTime() - checkedNanos) / 1_000_000;
        return wallMillis - monotonicMillis >= MIN_SUSPENSION_MILLIS;
    }
}
