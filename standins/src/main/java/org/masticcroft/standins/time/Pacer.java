package org.masticcroft.standins.time;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Limits the total byte rate of all streams that share it, as a network link does. */
public final class Pacer {
    private static final int PIECE_BYTES = 8 * 1024;

    private final LongSupplier bytesPerSecond;
    private final LongSupplier nanoTime;
    private long freeAtNanos;
    private boolean started;

    private Pacer(LongSupplier bytesPerSecond, LongSupplier nanoTime) {
        this.bytesPerSecond = bytesPerSecond;
        this.nanoTime = nanoTime;
    }

    /** Creates a pacer. A rate of 0 means no limit; the rate is read at each use, because it may change. */
    public static Pacer of(LongSupplier bytesPerSecond, LongSupplier nanoTime) {
        return new Pacer(bytesPerSecond, nanoTime);
    }

    /** Reserves transmission time for {@code bytes} and returns the time in nanoseconds until it ends. */
    public synchronized long reserve(int bytes) {
        long rate = bytesPerSecond.getAsLong();
        if (rate <= 0) {
            return 0;
        }
        long now = nanoTime.getAsLong();
        if (!started || freeAtNanos - now < 0) {
            freeAtNanos = now;
            started = true;
        }
        freeAtNanos += TimeUnit.SECONDS.toNanos(1) * bytes / rate;
        return freeAtNanos - now;
    }

    /** Writes {@code data} at the limited rate. */
    public void write(OutputStream out, byte[] data, int offset, int length) throws IOException, InterruptedException {
        for (int written = 0; written < length; written += PIECE_BYTES) {
            int pieceBytes = Math.min(PIECE_BYTES, length - written);
            TimeUnit.NANOSECONDS.sleep(reserve(pieceBytes));
            out.write(data, offset + written, pieceBytes);
        }
        out.flush();
    }
}
