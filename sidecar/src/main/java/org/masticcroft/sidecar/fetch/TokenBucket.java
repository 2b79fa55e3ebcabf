package org.masticcroft.sidecar.fetch;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Limits a rate in bytes per second. A transfer may start while the balance is positive and is charged as a whole, so a
 * transfer larger than the burst passes and the following ones wait for it.
 */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    /** Burst in seconds of the rate. */
    private static final double BURST_SECONDS = 1;

    private final TimeSource time;
    private double bytesPerSecond;
    private double balance;
    private long updatedNanos;

    private TokenBucket(TimeSource time, double bytesPerSecond) {
        this.time = time;
        this.bytesPerSecond = bytesPerSecond;
        this.balance = bytesPerSecond * BURST_SECONDS;
        this.updatedNanos = time.nanoTime();
    }

    /** Creates a full bucket. */
    public static TokenBucket of(TimeSource time, long bytesPerSecond) {
        return new TokenBucket(Objects.requireNonNull(time, "time"), bytesPerSecond);
    }

    /** Changes the rate. */
    public synchronized void rate(double newBytesPerSecond) {
        refill();
        bytesPerSecond = newBytesPerSecond;
        balance = Math.min(balance, bytesPerSecond * BURST_SECONDS);
    }

    /** Charges a transfer if one may start now. */
    public synchronized boolean tryTake(long bytes) {
        refill();
        if (balance <= 0) {
            return false;
        }
        balance -= bytes;
        return true;
    }

    private void refill() {
        long now = time.nanoTime();
        double added = (now - updatedNanos) / NANOS_PER_SECOND * bytesPerSecond;
        balance = Math.min(balance + added, bytesPerSecond * BURST_SECONDS);
        updatedNanos = now;
    }
}
