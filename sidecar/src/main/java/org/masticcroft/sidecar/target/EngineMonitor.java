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

/** Polls the engine and keeps the newest state that it reported. */
public final class EngineMonitor {
    /** A slow engine may miss a few polls; a state older than this is no longer trusted. */
    static final Duration MAX_STATE_AGE = Duration.ofSeconds(10);

    private final EngineClient engine;
    private final TimeSource time;
    private volatile Observation observation;

    private EngineMonitor(EngineClient engine, TimeSource time) {
        this.engine = engine;
        this.time = time;
    }

    /** Creates a monitor without a state. */
    public static EngineMonitor of(EngineClient engine, TimeSource time) {
        return new EngineMonitor(Objects.requireNonNull(engine, "engine"), Objects.requireNonNull(time, "time"));
    }

    /** Returns the newest state; empty if the engine does not answer or the state is too old. */
    public Optional<EngineState> latest() {
        Observation current = observation;
        return current == null || time.since(current.requestedAtNanos).compareTo(MAX_STATE_AGE) > 0
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

    /** Requests the engine's state; returns the newest known state. */
    public Optional<EngineState> refresh() {
        try {
            long requestedAtNanos = time.nanoTime();
            update(new Observation(engine.state(), requestedAtNanos));
        } catch (MasticcroftException e) {
            if (e.verdict() == Verdict.NOT_RUN) {
                observation = null;
            }
        }
        return latest();
    }

    private synchronized void update(Observation newest) {
        Observation previous = observation;
        if (previous != null && previous.requestedAtNanos > newest.requestedAtNanos) {
            return;
        }
        if (previous != null && !previous.state.incarnation().equals(newest.state.incarnation())) {
            EventLog.warn(
                    Event.ENGINE_RESTARTED,
                    "old_incarnation",
                    previous.state.incarnation(),
                    "incarnation",
                    newest.state.incarnation());
        }
        observation = newest;
    }

    /** A state and the time of the request that returned it. */
    private record Observation(EngineState state, long requestedAtNanos) {}
}
