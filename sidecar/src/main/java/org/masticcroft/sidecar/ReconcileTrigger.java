package org.masticcroft.sidecar;

import java.util.Objects;

/** Triggers a reconciliation. It is created before the {@link SidecarRole}, whose reconciliation is bound later. */
final class ReconcileTrigger implements Runnable {
    private volatile Runnable reconcile = () -> {};

    void bind(Runnable newReconcile) {
        reconcile = Objects.requireNonNull(newReconcile, "newReconcile");
    }

    @Override
    public void run() {
        reconcile.run();
    }
}
