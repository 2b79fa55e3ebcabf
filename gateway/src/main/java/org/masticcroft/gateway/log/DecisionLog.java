package org.masticcroft.gateway.log;

import java.io.PrintStream;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLine;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Writes numbered events as structured lines without blocking the caller. Lines wait in a bounded queue for a thread
 * that writes them; what does not fit is counted, and the count is written when there is room again.
 */
public final class DecisionLog implements AutoCloseable {
    /** Lines that may wait; about 20 seconds of a busy entry, or 1 MB. */
    private static final int DEFAULT_CAPACITY = 4096;

    /** Time for which lines are collected before they are written together. */
    private static final long COLLECT_MILLIS = 200;

    /** Longest time that closing waits for the last lines. */
    private static final long CLOSE_MILLIS = 500;

    private final int capacity;
    private final ArrayBlockingQueue<String> lines;
    private final AtomicLong dropped = new AtomicLong();
    private final TimeSource time;
    private final PrintStream out;
    private final Thread writer;
    private volatile boolean closed;

    private DecisionLog(TimeSource time, PrintStream out, int capacity) {
        this.time = time;
        this.out = out;
        this.capacity = capacity;
        this.lines = new ArrayBlockingQueue<>(capacity);
        this.writer = new Thread(this::writeAll, "log-writer");
        this.writer.setDaemon(true);
    }

    /** Creates a log and starts its writer. */
    public static DecisionLog start(TimeSource time, PrintStream out) {
        return start(time, out, DEFAULT_CAPACITY);
    }

    /** Creates a log with room for the given number of waiting lines and starts its writer. */
    public static DecisionLog start(TimeSource time, PrintStream out, int capacity) {
        DecisionLog log =
                new DecisionLog(Objects.requireNonNull(time, "time"), Objects.requireNonNull(out, "out"), capacity);
        log.writer.start();
        return log;
    }

    /**
     * Writes an event.
     *
     * @param event the event
     * @param keysAndValues alternating field names and values
     */
    public void write(Event event, Object... keysAndValues) {
        String line = time.now() + " " + EventLine.format(event, keysAndValues);
        if (!lines.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /** Writes an event with the message of its cause. */
    public void write(Event event, Throwable cause, Object... keysAndValues) {
        Object[] withCause = new Object[keysAndValues.length + 2];
        System.arraycopy(keysAndValues, 0, withCause, 0, keysAndValues.length);
        withCause[keysAndValues.length] = "cause";
        withCause[keysAndValues.length + 1] = describe(cause);
        write(event, withCause);
    }

    /** Returns the number of lines that did not fit so far and were not reported yet. */
    public long dropped() {
        return dropped.get();
    }

    @Override
    public void close() {
        closed = true;
        writer.interrupt();
        try {
            writer.join(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String describe(Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        return trace.length == 0 ? cause.toString() : cause + " at " + trace[0];
    }

    private void writeAll() {
        while (!closed) {
            try {
                String first = lines.take();
                writeBatch(first);
                Thread.sleep(COLLECT_MILLIS);
            } catch (InterruptedException e) {
                // close() interrupts the wait; the rest is written below.
                closed = true;
            }
        }
        do {
            writeBatch(lines.poll());
        } while (!lines.isEmpty());
    }

    private void writeBatch(String first) {
        StringBuilder batch = new StringBuilder();
        int taken = 0;
        // Without the limit a batch grows as long as lines arrive as fast as they are taken.
        for (String line = first; line != null; line = ++taken < capacity ? lines.poll() : null) {
            batch.append(line).append('\n');
        }
        long missing = dropped.getAndSet(0);
        if (missing > 0) {
            batch.append(time.now())
                    .append(' ')
                    .append(EventLine.format(Event.LOG_LINES_DROPPED, "count", missing))
                    .append('\n');
        }
        out.print(batch);
        out.flush();
    }
}
