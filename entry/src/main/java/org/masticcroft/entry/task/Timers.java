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

/** Tasks that become due on the monotonic clock. Tasks run outside the lock and must not block. */
public final class Timers {
    private final TimeSource time;
    private final TreeSet<Timer> waiting = new TreeSet<>(
            Comparator.<Timer>comparingLong(timer -> timer.dueNanos).thenComparingLong(timer -> timer.number));
    private long nextNumber;

    private Timers(TimeSource time) {
        this.time = time;
    }

    /** Creates an empty set of timers. */
    public static Timers of(TimeSource time) {
        return new Timers(Objects.requireNonNull(time, "time"));
    }

    /** Runs {@code task} once when {@code delay} has passed. */
    public Timer schedule(Duration delay, Runnable task) {
        return scheduleAt(time.nanoTime() + delay.toNanos(), task);
    }

    /** Runs {@code task} once when the monotonic clock has reached {@code dueNanos}. */
    public synchronized Timer scheduleAt(long dueNanos, Runnable task) {
        Timer timer = new Timer(dueNanos, nextNumber++, Objects.requireNonNull(task, "task"));
        waiting.add(timer);
        return timer;
    }

    /** Runs all tasks that are due. */
    public void runDue() {
        for (Timer timer : takeDue()) {
            try {
                timer.task.run();
            } catch (RuntimeException e) {
                EventLog.error(Event.INTERNAL_ERROR, e, "where", "timer");
            }
        }
    }

    private synchronized List<Timer> takeDue() {
        List<Timer> due = new ArrayList<>();
        long now = time.nanoTime();
        while (!waiting.isEmpty() && waiting.first().dueNanos <= now) {
            due.add(waiting.pollFirst());
        }
        return due;
    }

    private synchronized void remove(Timer timer) {
        waiting.remove(timer);
    }

    /** A scheduled task. */
    public final class Timer {
        private final long dueNanos;
        private final long number;
        private final Runnable task;

        private Timer(long dueNanos, long number, Runnable task) {
            this.dueNanos = dueNanos;
            this.number = number;
            this.task = task;
        }

        /** Removes the task if it has not started. */
        public void cancel() {
            remove(this);
        }
    }
}
