package org.masticcroft.standins.engine;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Tells one request that it is cancelled. */
final class CancelSignal {
    private final CountDownLatch latch = new CountDownLatch(1);
    private volatile Runnable wake = () -> {};

    private CancelSignal() {}

    static CancelSignal create() {
        return new CancelSignal();
    }

    boolean isCancelled() {
        return latch.getCount() == 0;
    }

    /** Sets what else to do on cancellation. */
    void onCancel(Runnable action) {
        wake = action;
    }

    void cancel() {
        latch.countDown();
        wake.run();
    }

    /** Waits until a point of the monotonic clock and returns whether the request was cancelled before. */
    boolean awaitUntil(long nanoTime) throws InterruptedException {
        return latch.await(nanoTime - System.nanoTime(), TimeUnit.NANOSECONDS) || isCancelled();
    }
}
