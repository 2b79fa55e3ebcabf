package org.masticcroft.sidecar;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import org.masticcroft.kernel.config.ConfigView;

/** Whether the upstream takes new work: not once the process drains, nor while the configuration drains it. */
final class Drain {
    private final ConfigView config;
    private final String upstream;
    private final AtomicBoolean begun = new AtomicBoolean();

    Drain(ConfigView config, String upstream) {
        this.config = Objects.requireNonNull(config, "config");
        this.upstream = Objects.requireNonNull(upstream, "upstream");
    }

    /** Begins the drain of the process; returns false if it had begun. */
    boolean begin() {
        return begun.compareAndSet(false, true);
    }

    /** Returns whether the process itself drains. */
    boolean isStopping() {
        return begun.get();
    }

    boolean isDraining() {
        return begun.get() || config.state().config().drained().contains(upstream);
    }
}
