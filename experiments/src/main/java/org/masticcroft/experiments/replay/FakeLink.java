package org.masticcroft.experiments.replay;

/** Fake network link: sends transfers one after the other at a fixed rate. */
public final class FakeLink {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int BITS_PER_BYTE = 8;

    private final EventLoop loop;
    private double bitsPerSecond;
    private long freeAtNanos;
    private long bytesSent;

    private FakeLink(double bitsPerSecond, EventLoop loop) {
        this.bitsPerSecond = bitsPerSecond;
        this.loop = loop;
    }

    /** Creates an idle link with a rate in bits per second. */
    public static FakeLink of(double bitsPerSecond, EventLoop loop) {
        return new FakeLink(bitsPerSecond, loop);
    }

    /** Returns the bytes sent so far, including transfers in progress. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Changes the rate of transfers that are sent from now on. */
    public void changeRate(double newBitsPerSecond) {
        bitsPerSecond = newBitsPerSecond;
    }

    /** Returns the time until the link is free, in nanoseconds. */
    public long backlogNanos() {
        return Math.max(0, freeAtNanos - loop.nowNanos());
    }

    /** Queues a transfer of a size in bytes and returns the monotonic time at which its last byte arrives. */
    public long send(long size) {
        bytesSent += size;
        freeAtNanos = Math.max(freeAtNanos, loop.nowNanos())
                + (long) (size * BITS_PER_BYTE / bitsPerSecond * NANOS_PER_SECOND);
        return freeAtNanos;
    }
}
