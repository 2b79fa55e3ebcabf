package org.masticcroft.sidecar;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import org.masticcroft.kernel.config.ConfigView;

/** Tracks whether the upstream is draining, because the process is stopping or because the configuration drains it. */
final class DrainState {
    private final ConfigView config;
    private final String upstream;
    private final AtomicBoolean stopping = new AtomicBoolean();

    DrainState(ConfigView config, String upstream) {
        this.config = Objects.requireNonNull(config, "config");
        this.upstream = Objects.requireNonNull(upstream, "upstream");
    }

    /** Begins the drain of the process; returns false if it had already begun. */
    boolean begin() {
        return stopping.compareAndSet(false, true);
    }

    /** Returns whether the process is stopping. */
    boolean isStopping() {
        return stopping.get();
    }

    /** Returns whether the upstream accepts no new work. */
    boolean isDraining() {
        return stopping.get() || config.state().config().drained().contains(upstream);
    }
}
