package org.masticcroft.gateway.weights;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.masticcroft.gateway.http.ResponseWriter;

/**
 * Sends pieces to other sidecars one at a time, at less than the rate of the machine's link. The response streams of
 * the engine share this link, and each byte queued ahead of them delays their events.
 */
public final class PacedUploads {
    /** Share of the link rate that uploads may use. */
    private static final double LINK_SHARE = 0.9;

    /** Maximum number of queued pieces; a further one would wait longer than fetching it from another sidecar takes. */
    private static final int MAX_WAITING = 3;

    private final EventLoop loop;
    private final double bitsPerMicrosecond;
    private final Deque<Upload> waiting = new ArrayDeque<>();
    private boolean running;

    private PacedUploads(EventLoop loop, double mbitPerSecond) {
        this.loop = loop;
        // One megabit per second is one bit per microsecond.
        this.bitsPerMicrosecond = mbitPerSecond * LINK_SHARE;
    }

    /** Creates an empty queue for a link of the given rate. */
    public static PacedUploads of(EventLoop loop, double mbitPerSecond) {
        return new PacedUploads(loop, mbitPerSecond);
    }

    /** Returns the number of pieces that can be queued now. */
    public int freeSlots() {
        return Math.max(0, MAX_WAITING - waiting.size());
    }

    /** Queues a piece as the response to a request; returns false if the queue is full. */
    public boolean add(ResponseWriter writer, byte[] data) {
        if (freeSlots() == 0) {
            return false;
        }
        waiting.addLast(new Upload(writer, data));
        if (!running) {
            running = true;
            sendNext();
        }
        return true;
    }

    private void sendNext() {
        Upload upload = waiting.pollFirst();
        if (upload == null) {
            running = false;
            return;
        }
        upload.writer().writeFull(200, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(upload.data()));
        long durationMicros = (long) (Byte.SIZE * upload.data().length / bitsPerMicrosecond);
        loop.schedule(this::sendNext, durationMicros, TimeUnit.MICROSECONDS);
    }

    private record Upload(ResponseWriter writer, byte[] data) {}
}
