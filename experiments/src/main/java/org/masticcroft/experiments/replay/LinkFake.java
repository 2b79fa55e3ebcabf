package org.masticcroft.experiments.replay;

/** Fake of a link: transfers are sent one after the other at a fixed rate. */
public final class LinkFake {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int BITS_PER_BYTE = 8;

    private final EventLoop loop;
    private double bitsPerSecond;
    private long freeNanos;
    private long bytes;

    private LinkFake(double bitsPerSecond, EventLoop loop) {
        this.bitsPerSecond = bitsPerSecond;
        this.loop = loop;
    }

    /** Creates an idle link. */
    public static LinkFake of(double bitsPerSecond, EventLoop loop) {
        return new LinkFake(bitsPerSecond, loop);
    }

    /** Returns the bytes that were sent. */
    public long bytes() {
        return bytes;
    }

    /** Changes the rate of later transfers. */
    public void changeRate(double newBitsPerSecond) {
        bitsPerSecond = newBitsPerSecond;
    }

    /** Returns the time until the link is free, in nanoseconds. */
    public long backlogNanos() {
        return Math.max(0, freeNanos - loop.now());
    }

    /** Sends bytes and returns the time at which the last one arrives. */
    public long send(long size) {
        bytes += size;
        freeNanos = Math.max(freeNanos, loop.now()) + (long) (size * BITS_PER_BYTE / bitsPerSecond * NANOS_PER_SECOND);
        return freeNanos;
    }
}
