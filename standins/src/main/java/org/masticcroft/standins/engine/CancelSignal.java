package org.masticcroft.standins.engine;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Cancellation signal of one request. */
final class CancelSignal {
    private final CountDownLatch latch = new CountDownLatch(1);
    private volatile Runnable onCancel = () -> {};

    private CancelSignal() {}

    static CancelSignal create() {
        return new CancelSignal();
    }

    boolean isCancelled() {
        return latch.getCount() == 0;
    }

    /** Sets an action that {@link #cancel()} runs. */
    void onCancel(Runnable action) {
        onCancel = action;
    }

    void cancel() {
        latch.countDown();
        onCancel.run();
    }

    /**
     * Waits until a time of {@link System#nanoTime()} or the cancellation, and returns whether the request is
     * cancelled.
     */
    boolean awaitUntil(long deadlineNanos) throws InterruptedException {
        return latch.await(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS) || isCancelled();
    }
}
