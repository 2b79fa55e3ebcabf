package org.masticcroft.standins.engine;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The places in the batch. Waiting requests get them by priority, then in order of arrival. */
final class SlotQueue {
    /** What became of a request for a place. */
    enum Result {
        ADMITTED,
        OVERLOADED,
        CANCELLED
    }

    /** Told of the number of running and waiting requests after each change. */
    @FunctionalInterface
    interface LoadListener {
        void changed(int running, int waiting);
    }

    private static final class Waiter {
        private final int priority;
        private final long number;
        private final CancelSignal signal;
        private boolean admitted;

        private Waiter(int priority, long number, CancelSignal signal) {
            this.priority = priority;
            this.number = number;
            this.signal = signal;
        }
    }

    private final int slots;
    private final int bound;
    private final LoadListener listener;
    private final PriorityQueue<Waiter> waiting = new PriorityQueue<>(
            Comparator.<Waiter>comparingInt(waiter -> waiter.priority).thenComparingLong(waiter -> waiter.number));
    private int running;
    private long arrivals;

    private SlotQueue(int slots, int bound, LoadListener listener) {
        this.slots = slots;
        this.bound = bound;
        this.listener = listener;
    }

    static SlotQueue of(int slots, int bound, LoadListener listener) {
        return new SlotQueue(slots, bound, listener);
    }

    /** Returns the number of running requests. */
    synchronized int running() {
        return running;
    }

    /** Waits for a place; an admitted request must call {@link #release()}. */
    synchronized Result acquire(int priority, CancelSignal signal) throws InterruptedException {
        Waiter waiter = new Waiter(priority, arrivals++, signal);
        if (running >= slots && waiting.size() >= bound) {
            return Result.OVERLOADED;
        }
        signal.onCancel(this::wake);
        waiting.add(waiter);
        admit();
        while (!waiter.admitted && !signal.isCancelled()) {
            wait();
        }
        if (waiter.admitted) {
            return Result.ADMITTED;
        }
        waiting.remove(waiter);
        report();
        return Result.CANCELLED;
    }

    /** Gives a place back. */
    synchronized void release() {
        running--;
        admit();
    }

    private synchronized void wake() {
        notifyAll();
    }

    private void admit() {
        while (running < slots && !waiting.isEmpty()) {
            Waiter next = waiting.remove();
            if (!next.signal.isCancelled()) {
                next.admitted = true;
                running++;
            }
        }
        report();
        notifyAll();
    }

    private void report() {
        listener.changed(running, waiting.size());
    }
}
