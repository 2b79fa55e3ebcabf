package org.masticcroft.gateway.weights;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.masticcroft.gateway.http.ResponseWriter;

/**
 * Hands pieces out one after the other, below the rate of the machine's link. The streams of the engine leave over the
 * same link, and each byte that waits before them delays their events.
 */
public final class PacedUploads {
    /** Part of the link that pieces may use. */
    private static final double LINK_SHARE = 0.9;

    /** Pieces that may wait; a further one would wait longer than another sidecar needs. */
    private static final int MAX_WAITING = 3;

    private final EventLoop loop;
    private final double bitsPerMicro;
    private final Deque<Upload> waiting = new ArrayDeque<>();
    private boolean running;

    private PacedUploads(EventLoop loop, double mbitPerSecond) {
        this.loop = loop;
        // One megabit in a second is one bit in a microsecond.
        this.bitsPerMicro = mbitPerSecond * LINK_SHARE;
    }

    /** Creates an empty queue for a link of the given rate. */
    public static PacedUploads of(EventLoop loop, double mbitPerSecond) {
        return new PacedUploads(loop, mbitPerSecond);
    }

    /** Returns the number of pieces that may be added now. */
    public int free() {
        return Math.max(0, MAX_WAITING - waiting.size());
    }

    /** Adds a piece; returns false if too many wait. */
    public boolean add(ResponseWriter writer, byte[] data) {
        if (free() == 0) {
            return false;
        }
        waiting.addLast(new Upload(writer, data));
        if (!running) {
            running = true;
            next();
        }
        return true;
    }

    private void next() {
        Upload upload = waiting.pollFirst();
        if (upload == null) {
            running = false;
            return;
        }
        upload.writer().writeFull(200, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(upload.data()));
        long micros = (long) (Byte.SIZE * upload.data().length / bitsPerMicro);
        loop.schedule(this::next, micros, TimeUnit.MICROSECONDS);
    }

    private record Upload(ResponseWriter writer, byte[] data) {}
}
