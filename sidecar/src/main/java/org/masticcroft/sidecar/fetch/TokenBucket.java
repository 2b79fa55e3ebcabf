package org.masticcroft.sidecar.fetch;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Limits a rate in bytes per second. A transfer may start while the balance is positive and is charged in full, so a
 * transfer larger than the burst is admitted and the following ones wait until the balance is positive again.
 */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    /** Size of the burst, in seconds at the full rate. */
    private static final double BURST_SECONDS = 1;

    private final TimeSource time;
    private double bytesPerSecond;
    private double balance;
    private long lastRefillNanos;

    private TokenBucket(TimeSource time, double bytesPerSecond) {
        this.time = time;
        this.bytesPerSecond = bytesPerSecond;
        this.balance = bytesPerSecond * BURST_SECONDS;
        this.lastRefillNanos = time.nanoTime();
    }

    /** Creates a full bucket. */
    public static TokenBucket of(TimeSource time, long bytesPerSecond) {
        return new TokenBucket(Objects.requireNonNull(time, "time"), bytesPerSecond);
    }

    /** Changes the rate. */
    public synchronized void updateRate(double newBytesPerSecond) {
        refill();
        bytesPerSecond = newBytesPerSecond;
        balance = Math.min(balance, bytesPerSecond * BURST_SECONDS);
    }

    /** Charges a transfer if it may start now; returns whether it may. */
    public synchronized boolean tryConsume(long bytes) {
        refill();
        if (balance <= 0) {
            return false;
        }
        balance -= bytes;
        return true;
    }

    private void refill() {
        long now = time.nanoTime();
        double refillBytes = (now - lastRefillNanos) / NANOS_PER_SECOND * bytesPerSecond;
        balance = Math.min(balance + refillBytes, bytesPerSecond * BURST_SECONDS);
        lastRefillNanos = now;
    }
}
