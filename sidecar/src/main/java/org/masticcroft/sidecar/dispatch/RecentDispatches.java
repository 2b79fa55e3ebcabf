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

/** Remembers the request id and attempt of each dispatch, so that a repeated one is not run again. */
final class RecentDispatches {
    /** Far longer than a request may take (30 s by default) and than a claim may be dispatched (10 s). */
    static final Duration MEMORY = Duration.ofMinutes(10);
    /** Bounds the memory at roughly 20 MB; at 30 requests a second per engine this covers the whole time. */
    private static final long MAX_ENTRIES = 100_000;

    private final Cache<Key, Seen> seen;

    RecentDispatches(TimeSource time) {
        Objects.requireNonNull(time, "time");
        seen = CacheBuilder.newBuilder()
                .maximumSize(MAX_ENTRIES)
                .expireAfterWrite(MEMORY)
                .ticker(new Ticker() {
                    @Override
                    public long read() {
                        return time.nanoTime();
                    }
                })
                .build();
    }

    /** Notes a dispatch; returns the earlier one with the same request id and attempt, if there is one. */
    Optional<Seen> note(Dispatch dispatch) {
        return Optional.ofNullable(seen.asMap().putIfAbsent(Key.of(dispatch), Seen.RUNNING));
    }

    void ended(Dispatch dispatch, Verdict verdict) {
        seen.put(Key.of(dispatch), new Seen(Optional.of(verdict)));
    }

    /**
     * An earlier dispatch.
     *
     * @param verdict its verdict; empty while it waits or runs
     */
    record Seen(Optional<Verdict> verdict) {
        private static final Seen RUNNING = new Seen(Optional.empty());
    }

    private record Key(String requestId, int attempt) {
        private static Key of(Dispatch dispatch) {
            return new Key(dispatch.getRequestId(), dispatch.getAttempt());
        }
    }
}
