package org.masticcroft.experiments.replay;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.masticcroft.kernel.time.ManualTimeSource;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Single-threaded event loop on simulated time. Events run in the order of their time; events of equal time run in the
 * order in which they were added.
 */
public final class EventLoop {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final ManualTimeSource time = ManualTimeSource.of(START);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long sequence;

    private EventLoop() {}

    /** Creates a loop without events whose monotonic time is 0. */
    public static EventLoop empty() {
        return new EventLoop();
    }

    /** Returns the simulated clock. */
    public TimeSource time() {
        return time;
    }

    /** Returns the simulated monotonic time in nanoseconds. */
    public long nowNanos() {
        return time.nanoTime();
    }

    /** Schedules an action at a monotonic time, or now if that time has passed. */
    public void scheduleAt(long nanos, Runnable action) {
        events.add(new Event(Math.max(nanos, nowNanos()), sequence++, action));
    }

    /** Schedules an action after a delay in nanoseconds. */
    public void scheduleAfter(long delayNanos, Runnable action) {
        scheduleAt(nowNanos() + delayNanos, action);
    }

    /** Runs all events up to and including a time, then advances the clock to that time. */
    public void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.poll();
            time.advance(Duration.ofNanos(event.atNanos() - nowNanos()));
            event.action().run();
        }
        time.advance(Duration.ofNanos(Math.max(0, endNanos - nowNanos())));
    }

    private record Event(long atNanos, long sequence, Runnable action) {}
}
