package org.masticcroft.entry.upstream;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.masticcroft.kernel.breaker.CircuitBreaker;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.wire.generated.ReadyModel;

/** What the table knows about one upstream. Guarded by the lock of the table. */
final class Upstream {
    /** Window for a plain service whose sidecar states no slots. */
    private static final int DEFAULT_SLOTS = 32;

    /** A quarter of the slots may be exceeded by urgent requests, for which the sidecar preempts others. */
    private static final int URGENT_SHARE = 4;

    /** Age of a status at which an upstream is asked again while it does not serve all wanted weights. */
    private static final long INCOMPLETE_STATUS_NANOS = 1_000_000_000L;

    /** Age of a status at which an upstream is asked again although its responses arrive. */
    private static final long COMPLETE_STATUS_NANOS = 10_000_000_000L;

    final Instance instance;
    final CircuitBreaker breaker;
    boolean listedLeaving;
    boolean drained;
    boolean draining;
    boolean unreachable;
    boolean heard;
    long noticeNanos;
    boolean noticed;
    long heardNanos;
    long statusNanos;
    long reportNanos;
    long busyUntilNanos;
    boolean statusPending;
    int statusFailures;
    int slots;
    int reported;
    int others;
    int ownInFlight;
    long configVersion;
    String incarnation = "";
    String targetDigest = "";
    int chunksHeld;
    int chunksTotal;
    List<ReadyModel> ready = List.of();
    Set<String> wanted = Set.of();

    Upstream(Instance instance, CircuitBreaker breaker, long nowNanos) {
        this.instance = instance;
        this.breaker = breaker;
        this.busyUntilNanos = nowNanos;
        this.heardNanos = nowNanos - UpstreamTable.SILENCE_NANOS;
        this.statusNanos = heardNanos;
    }

    String id() {
        return instance.upstream().orElseThrow().id();
    }

    String group() {
        return instance.upstream().orElseThrow().group();
    }

    boolean isService() {
        return instance.upstream().orElseThrow().kind() == Instance.Kind.SERVICE;
    }

    boolean needsStatus(long nowNanos) {
        boolean silent = nowNanos - heardNanos >= UpstreamTable.SILENCE_NANOS;
        boolean incomplete = !readyDigests().containsAll(wanted);
        long longest = incomplete ? INCOMPLETE_STATUS_NANOS : COMPLETE_STATUS_NANOS;
        return silent || nowNanos - statusNanos >= longest;
    }

    boolean takesWork() {
        return heard && !unreachable && !listedLeaving && !drained && !draining && !noticed;
    }

    boolean serves(Target target, Weights weights) {
        return isReady(weights.digest())
                && target.adapterDigest().map(this::isReady).orElse(true);
    }

    boolean isReady(String digest) {
        return ready.stream().anyMatch(model -> model.getWeightsDigest().equals(digest));
    }

    Set<String> readyDigests() {
        Set<String> digests = new TreeSet<>();
        ready.forEach(model -> digests.add(model.getWeightsDigest()));
        return digests;
    }

    /**
     * Returns whether the local window has room. One request is always allowed, because otherwise the load of the other
     * entries would lock this entry out until the next report.
     */
    boolean hasRoom(boolean urgent, long nowNanos) {
        int own = knownSlots() - others;
        int extra = urgent ? Math.max(1, knownSlots() / URGENT_SHARE) : 0;
        return ownInFlight < Math.max(1, own) + extra && nowNanos - busyUntilNanos >= 0;
    }

    int knownSlots() {
        return slots > 0 ? slots : DEFAULT_SLOTS;
    }

    String reasonForNoWork() {
        if (listedLeaving || noticed) {
            return "leaving";
        }
        if (drained) {
            return "drained";
        }
        if (draining) {
            return "draining";
        }
        return unreachable ? "unreachable" : "not-ready";
    }
}
