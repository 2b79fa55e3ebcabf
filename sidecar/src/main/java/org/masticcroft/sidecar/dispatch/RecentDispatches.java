package org.masticcroft.sidecar.dispatch;

import com.google.common.base.Ticker;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.wire.generated.Dispatch;

/** Deduplicates dispatches by request id and attempt, so that an attempt that is delivered twice runs once. */
final class RecentDispatches {
    /** Exceeds the time that a request may take (30 s by default) and in which a claim may be dispatched (10 s). */
    static final Duration RETENTION = Duration.ofMinutes(10);
    /** Limits memory to about 20 MB; at 30 requests per second and engine this covers the whole retention time. */
    private static final long MAX_ENTRIES = 100_000;

    private final Cache<Key, State> states;

    RecentDispatches(TimeSource time) {
        Objects.requireNonNull(time, "time");
        states = CacheBuilder.newBuilder()
                .maximumSize(MAX_ENTRIES)
                .expireAfterWrite(RETENTION)
                .ticker(new Ticker() {
                    @Override
                    public long read() {
                        return time.nanoTime();
                    }
                })
                .build();
    }

    /** Registers a dispatch; returns the state of the earlier one with the same request id and attempt, if any. */
    Optional<State> register(Dispatch dispatch) {
        return Optional.ofNullable(states.asMap().putIfAbsent(Key.of(dispatch), State.RUNNING));
    }

    void recordEnd(Dispatch dispatch, Verdict verdict) {
        states.put(Key.of(dispatch), new State(Optional.of(verdict)));
    }

    /**
     * State of a registered dispatch.
     *
     * @param verdict verdict of the dispatch; empty while it waits or runs
     */
    record State(Optional<Verdict> verdict) {
        private static final State RUNNING = new State(Optional.empty());
    }

    private record Key(String requestId, int attempt) {
        private static Key of(Dispatch dispatch) {
            return new Key(dispatch.getRequestId(), dispatch.getAttempt());
        }
    }
}
