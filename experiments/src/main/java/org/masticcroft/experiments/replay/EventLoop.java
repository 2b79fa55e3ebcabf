package org.masticcroft.experiments.replay;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.masticcroft.kernel.time.ManualTimeSource;
import org.masticcroft.kernel.time.TimeSource;

/** Runs events in the order of their time; events of equal time run in the order in which they were added. */
public final class EventLoop {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final ManualTimeSource time = ManualTimeSource.of(START);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long sequence;

    private EventLoop() {}

    /** Creates a loop without events at monotonic time 0. */
    public static EventLoop empty() {
        return new EventLoop();
    }

    /** Returns the clock that the loop moves. */
    public TimeSource time() {
        return time;
    }

    /** Returns the monotonic time in nanoseconds. */
    public long now() {
        return time.nanoTime();
    }

    /** Adds an event at a monotonic time; a time in the past means now. */
    public void at(long nanos, Runnable action) {
        events.add(new Event(Math.max(nanos, now()), sequence++, action));
    }

    /** Adds an event after a delay in nanoseconds. */
    public void after(long delayNanos, Runnable action) {
        at(now() + delayNanos, action);
    }

    /** Runs all events up to and including a time, then moves the clock there. */
    public void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.poll();
            time.advance(Duration.ofNanos(event.atNanos() - now()));
            event.action().run();
        }
        time.advance(Duration.ofNanos(Math.max(0, endNanos - now())));
    }

    private record Event(long atNanos, long sequence, Runnable action) {}
}
