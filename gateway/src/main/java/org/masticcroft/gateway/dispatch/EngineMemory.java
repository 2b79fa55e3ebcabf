package org.masticcroft.gateway.dispatch;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.WeakHashMap;
import java.util.function.Function;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.event.Event;

/**
 * Keeps the requests at an engine within its memory: the prompts and the largest responses of the requests of this
 * entry, and what the sidecar reports beyond them; see {@code docs/design/engine-memory.md}.
 */
public final class EngineMemory implements PlacementRule {
    /**
     * Fraction of the memory that is used. The rest is for requests of other entries since the last report, and for
     * the responses of reported requests, which grow.
     */
    private static final double USABLE_FRACTION = 0.85;

    /** Fraction of the memory from which a request is large, as a divisor; an engine runs about twelve at a time. */
    private static final int LARGE_DIVISOR = 12;

    /** Least time between two log lines on the same engine. */
    private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;

    private final Function<String, Optional<EngineProfile>> profiles;
    private final DecisionLog log;
    private final Map<Upstream, Long> loggedNanos = new WeakHashMap<>();

    private EngineMemory(Function<String, Optional<EngineProfile>> profiles, DecisionLog log) {
        this.profiles = Objects.requireNonNull(profiles, "profiles");
        this.log = Objects.requireNonNull(log, "log");
    }

    /**
     * Creates a rule.
     *
     * @param profiles cost models by service; empty for a plain service
     * @param log decision log
     */
    public static EngineMemory of(Function<String, Optional<EngineProfile>> profiles, DecisionLog log) {
        return new EngineMemory(profiles, log);
    }

    @Override
    public PlacementDecision check(QueuedRequest request, Upstream upstream, long nowNanos) {
        long capacity = profiles.apply(upstream.listing().service())
                .map(EngineProfile::memoryTokens)
                .orElse(0L);
        long needed = request.memoryTokens();
        if (capacity == 0 || needed > capacity) {
            // An engine refuses a request that exceeds its memory, so the request must not wait for it.
            return PlacementDecision.ALLOWED;
        }
        double usable = USABLE_FRACTION * capacity;
        // A request that needs more than the usable part is sent to an engine that can hold it besides the others.
        double limit = needed > usable ? capacity : usable;
        double others = upstream.memoryTokensOfOthers(capacity);
        if (upstream.memoryTokens() + others + needed <= limit) {
            return PlacementDecision.ALLOWED;
        }
        logFull(request, upstream, others, capacity, nowNanos);
        return PlacementDecision.MEMORY_FULL;
    }

    /**
     * Returns whether a request needs so much memory that it may wait for an engine while others would find room. It
     * must not hold those up.
     */
    static boolean isLarge(QueuedRequest request, Optional<EngineProfile> profile) {
        long capacity = profile.map(EngineProfile::memoryTokens).orElse(0L);
        return capacity > 0 && request.memoryTokens() > capacity / LARGE_DIVISOR;
    }

    private void logFull(QueuedRequest request, Upstream upstream, double others, long capacity, long nowNanos) {
        Long logged = loggedNanos.get(upstream);
        if (logged != null && nowNanos - logged < LOG_INTERVAL_NANOS) {
            return;
        }
        loggedNanos.put(upstream, nowNanos);
        log.write(
                Event.ENGINE_MEMORY_FULL,
                "upstream",
                upstream.id(),
                "request",
                request.id(),
                "needed_tokens",
                request.memoryTokens(),
                "own_tokens",
                upstream.memoryTokens(),
                "others_tokens",
                (long) others,
                "capacity_tokens",
                capacity);
    }
}
