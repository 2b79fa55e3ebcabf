package org.masticcroft.gateway.log;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLine;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Writes events as structured lines, each with its time and event number, without blocking the caller. A thread writes
 * the lines from a bounded queue. Lines that do not fit into the queue are dropped and counted; the next batch of lines
 * states how many.
 */
public final class DecisionLog implements AutoCloseable {
    /** Capacity of the queue in lines: about 20 seconds of a busy entry, or 1 MB. */
    private static final int DEFAULT_CAPACITY = 4096;

    /** Time for which lines are collected between two batches. */
    private static final long COLLECT_INTERVAL_MILLIS = 200;

    /** Longest time for which {@link #close()} waits for the last lines. */
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

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

    /** Creates a log with the default capacity and starts its writer. */
    public static DecisionLog start(TimeSource time, PrintStream out) {
        return start(time, out, DEFAULT_CAPACITY);
    }

    /**
     * Creates a log and starts its writer.
     *
     * @param time time source
     * @param out receives the lines
     * @param capacity number of lines that can be queued
     */
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

    /** Returns the number of dropped lines that are not reported in the log yet. */
    public long dropped() {
        return dropped.get();
    }

    @Override
    public void close() {
        close(Duration.ofMillis(CLOSE_TIMEOUT_MILLIS));
    }

    /**
     * Writes the last lines and closes the log.
     *
     * @param timeout longest time to wait for the lines, because the output may be blocked
     */
    public void close(Duration timeout) {
        closed = true;
        writer.interrupt();
        try {
            // A timeout of zero would wait without end.
            writer.join(Math.max(1, timeout.toMillis()));
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
                Thread.sleep(COLLECT_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                // Interrupted by close(); the queued lines are written below.
                closed = true;
            }
        }
        do {
            writeBatch(lines.poll());
        } while (!lines.isEmpty());
    }

    private void writeBatch(String first) {
        StringBuilder batch = new StringBuilder();
        int lineCount = 0;
        // The limit keeps a batch from growing without end while lines arrive as fast as they are taken.
        for (String line = first; line != null; line = ++lineCount < capacity ? lines.poll() : null) {
            batch.append(line).append('\n');
        }
        long droppedLines = dropped.getAndSet(0);
        if (droppedLines > 0) {
            batch.append(time.now())
                    .append(' ')
                    .append(EventLine.format(Event.LOG_LINES_DROPPED, "count", droppedLines))
                    .append('\n');
        }
        out.print(batch);
        out.flush();
    }
}
