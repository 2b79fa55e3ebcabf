package org.masticcroft.sidecar.target;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.ports.engine.EngineClient;
import org.masticcroft.ports.engine.EngineState;

/** The newest state that the engine reported. */
public final class EngineMonitor {
    /** A slow engine may miss a few polls; after this time its last state is not trusted any more. */
    static final Duration LONGEST_AGE = Duration.ofSeconds(10);

    private final EngineClient engine;
    private final TimeSource time;
    private volatile Seen seen;

    private EngineMonitor(EngineClient engine, TimeSource time) {
        this.engine = engine;
        this.time = time;
    }

    /** Creates a monitor that has not seen any state. */
    public static EngineMonitor of(EngineClient engine, TimeSource time) {
        return new EngineMonitor(Objects.requireNonNull(engine, "engine"), Objects.requireNonNull(time, "time"));
    }

    /** Returns the newest state; empty if the engine does not answer. */
    public Optional<EngineState> latest() {
        Seen current = seen;
        return current == null || time.since(current.atNanos).compareTo(LONGEST_AGE) > 0
                ? Optional.empty()
                : Optional.of(current.state);
    }

    public boolean isLoaded(WeightsDigest digest) {
        return latest().filter(state -> state.isLoaded(digest)).isPresent();
    }

    /** Returns the incarnation of the engine; empty if unknown. */
    public String incarnation() {
        return latest().map(EngineState::incarnation).orElse("");
    }

    /** Asks the engine for its state. */
    public Optional<EngineState> refresh() {
        try {
            long asked = time.nanoTime();
            seen(new Seen(engine.state(), asked));
        } catch (MasticcroftException e) {
            if (e.verdict() == Verdict.NOT_RUN) {
                seen = null;
            }
        }
        return latest();
    }

    private synchronized void seen(Seen newest) {
        Seen old = seen;
        if (old != null && old.atNanos > newest.atNanos) {
            return;
        }
        if (old != null && !old.state.incarnation().equals(newest.state.incarnation())) {
            EventLog.warn(
                    Event.ENGINE_RESTARTED,
                    "old_incarnation",
                    old.state.incarnation(),
                    "incarnation",
                    newest.state.incarnation());
        }
        seen = newest;
    }

    private record Seen(EngineState state, long atNanos) {}
}
