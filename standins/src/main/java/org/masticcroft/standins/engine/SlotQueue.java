package org.masticcroft.standins.engine;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The slots of the batch. Waiting requests get a slot by priority, then in order of arrival. */
final class SlotQueue {
    /** Result of a request for a slot. */
    enum Result {
        ADMITTED,
        OVERLOADED,
        CANCELLED
    }

    /** Receives the number of running and waiting requests after each change. */
    @FunctionalInterface
    interface LoadListener {
        void changed(int running, int waiting);
    }

    private static final class Waiter {
        private final int priority;
        private final long arrivalNumber;
        private final CancelSignal signal;
        private boolean admitted;

        private Waiter(int priority, long arrivalNumber, CancelSignal signal) {
            this.priority = priority;
            this.arrivalNumber = arrivalNumber;
            this.signal = signal;
        }
    }

    private final int slots;
    private final int maxWaiting;
    private final LoadListener listener;
    private final PriorityQueue<Waiter> waiting =
            new PriorityQueue<>(Comparator.<Waiter>comparingInt(waiter -> waiter.priority)
                    .thenComparingLong(waiter -> waiter.arrivalNumber));
    private int running;
    private long arrivals;

    private SlotQueue(int slots, int maxWaiting, LoadListener listener) {
        this.slots = slots;
        this.maxWaiting = maxWaiting;
        this.listener = listener;
    }

    static SlotQueue of(int slots, int maxWaiting, LoadListener listener) {
        return new SlotQueue(slots, maxWaiting, listener);
    }

    /** Returns the number of running requests. */
    synchronized int running() {
        return running;
    }

    /** Waits for a slot; an admitted request must call {@link #release()} at its end. */
    synchronized Result acquire(int priority, CancelSignal signal) throws InterruptedException {
        Waiter waiter = new Waiter(priority, arrivals++, signal);
        if (running >= slots && waiting.size() >= maxWaiting) {
            return Result.OVERLOADED;
        }
        signal.onCancel(this::wakeWaiters);
        waiting.add(waiter);
        admit();
        while (!waiter.admitted && !signal.isCancelled()) {
            wait();
        }
        if (waiter.admitted) {
            return Result.ADMITTED;
        }
        waiting.remove(waiter);
        reportLoad();
        return Result.CANCELLED;
    }

    /** Releases a slot and admits the next waiting request. */
    synchronized void release() {
        running--;
        admit();
    }

    private synchronized void wakeWaiters() {
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
        reportLoad();
        notifyAll();
    }

    private void reportLoad() {
        listener.changed(running, waiting.size());
    }
}
