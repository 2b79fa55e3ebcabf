package org.masticcroft.sidecar;

import java.util.Objects;

/** Passes a signal from a part that is built early to one that is built later. */
final class Wakeup implements Runnable {
    private volatile Runnable target = () -> {};

    void target(Runnable newTarget) {
        target = Objects.requireNonNull(newTarget, "newTarget");
    }

    @Override
    public void run() {
        target.run();
    }
}
