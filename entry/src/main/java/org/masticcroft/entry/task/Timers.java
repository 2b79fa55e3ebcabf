package org.masticcroft.entry.task;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.TreeSet;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.time.TimeSource;

/** Tasks scheduled on the monotonic clock. Thread-safe; tasks run outside the lock and must not block. */
public final class Timers {
    private final TimeSource time;
    private final TreeSet<Timer> pending = new TreeSet<>(
            Comparator.<Timer>comparingLong(timer -> timer.dueNanos).thenComparingLong(timer -> timer.sequence));
    private long nextSequence;

    private Timers(TimeSource time) {
        this.time = time;
    }

    /** Creates timers without scheduled tasks. */
    public static Timers of(TimeSource time) {
        return new Timers(Objects.requireNonNull(time, "time"));
    }

    /** Runs {@code task} once when {@code delay} has passed. */
    public Timer schedule(Duration delay, Runnable task) {
        return scheduleAt(time.nanoTime() + delay.toNanos(), task);
    }

    /** Runs {@code task} once when the monotonic clock has reached {@code dueNanos}. */
    public synchronized Timer scheduleAt(long dueNanos, Runnable task) {
        Timer timer = new Timer(dueNanos, nextSequence++, Objects.requireNonNull(task, "task"));
        pending.add(timer);
        return timer;
    }

    /** Runs all tasks that are due. */
    public void runDue() {
        for (Timer timer : pollDue()) {
            try {
                timer.task.run();
            } catch (RuntimeException e) {
                EventLog.error(Event.INTERNAL_ERROR, e, "where", "timer");
            }
        }
    }

    private synchronized List<Timer> pollDue() {
        List<Timer> due = new ArrayList<>();
        long now = time.nanoTime();
        while (!pending.isEmpty() && pending.first().dueNanos <= now) {
            due.add(pending.pollFirst());
        }
        return due;
    }

    private synchronized void remove(Timer timer) {
        pending.remove(timer);
    }

    /** A scheduled task. */
    public final class Timer {
        private final long dueNanos;
        private final long sequence;
        private final Runnable task;

        private Timer(long dueNanos, long sequence, Runnable task) {
            this.dueNanos = dueNanos;
            this.sequence = sequence;
            this.task = task;
        }

        /** Cancels the task; has no effect once {@link Timers#runDue} has taken it. */
        public void cancel() {
            remove(this);
        }
    }
}
