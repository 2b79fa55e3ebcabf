package org.masticcroft.standins.link;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.masticcroft.standins.time.Pacer;

/** One direction of a forwarded connection. Data waits in a bounded queue until its delay has passed. */
final class Direction {
    /** Waits until the link is not cut. */
    @FunctionalInterface
    interface CutGate {
        void awaitOpen() throws InterruptedException;
    }

    private record Piece(long dueNanos, byte[] data) {}

    private static final int PIECE_BYTES = 16 * 1024;

    /** 16 KiB pieces: 1 MiB in transit, enough for 100 ms at 10 MB/s. */
    private static final int MAX_PIECES = 64;

    private static final byte[] END = new byte[0];

    private final Socket from;
    private final Socket to;
    private final Pacer pacer;
    private final AtomicLong forwardedBytes;
    private final LongSupplier delayNanos;
    private final CutGate gate;
    private final BlockingQueue<Piece> queue = new ArrayBlockingQueue<>(MAX_PIECES);

    private Direction(
            Socket from, Socket to, Pacer pacer, AtomicLong forwardedBytes, LongSupplier delayNanos, CutGate gate) {
        this.from = from;
        this.to = to;
        this.pacer = pacer;
        this.forwardedBytes = forwardedBytes;
        this.delayNanos = delayNanos;
        this.gate = gate;
    }

    static Direction of(
            Socket from, Socket to, Pacer pacer, AtomicLong forwardedBytes, LongSupplier delayNanos, CutGate gate) {
        return new Direction(from, to, pacer, forwardedBytes, delayNanos, gate);
    }

    /** Reads the input into the queue until its end, and returns whether it ended without an error. */
    boolean read() {
        byte[] buffer = new byte[PIECE_BYTES];
        try {
            InputStream in = from.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                queue.put(new Piece(System.nanoTime() + delayNanos.getAsLong(), Arrays.copyOf(buffer, count)));
            }
            queue.put(new Piece(System.nanoTime() + delayNanos.getAsLong(), END));
            return true;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Writes queued data when it is due, and returns whether the end of the input was forwarded without an error. */
    boolean write() {
        try {
            OutputStream out = to.getOutputStream();
            while (true) {
                Piece piece = queue.take();
                TimeUnit.NANOSECONDS.sleep(piece.dueNanos() - System.nanoTime());
                gate.awaitOpen();
                if (piece.data() == END) {
                    to.shutdownOutput();
                    return true;
                }
                pacer.write(out, piece.data(), 0, piece.data().length);
                forwardedBytes.addAndGet(piece.data().length);
            }
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
