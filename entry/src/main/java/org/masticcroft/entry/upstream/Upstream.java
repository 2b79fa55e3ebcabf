package org.masticcroft.entry.upstream;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.masticcroft.kernel.breaker.CircuitBreaker;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.wire.generated.ReadyModel;

/** State of one upstream in the upstream table. Guarded by the lock of the table. */
final class Upstream {
    /** Slots of a plain service whose sidecar reports none. */
    private static final int DEFAULT_SLOTS = 32;

    /** Urgent requests may exceed the slots by a quarter, because the sidecar preempts other requests for them. */
    private static final int URGENT_DIVISOR = 4;

    /** Age at which the status is requested again while the upstream does not serve all configured weights. */
    private static final long INCOMPLETE_STATUS_MAX_AGE_NANOS = 1_000_000_000L;

    /** Age at which the status is requested again although responses of the upstream arrive. */
    private static final long COMPLETE_STATUS_MAX_AGE_NANOS = 10_000_000_000L;

    final Instance instance;
    final CircuitBreaker breaker;

    /** Whether the instance list states that the instance is leaving. */
    boolean listedLeaving;

    /** Whether the configuration drains the upstream. */
    boolean drained;

    /** Whether the sidecar reported that it is draining. */
    boolean draining;

    boolean unreachable;

    /** Whether any message of the sidecar has arrived. */
    boolean contacted;

    long leavingNoticeNanos;

    /** Whether a leaving notice of the sidecar is in effect. */
    boolean leavingNoticed;

    long lastContactNanos;
    long lastStatusNanos;
    long loadReportNanos;
    long busyUntilNanos;
    boolean statusPending;
    int statusFailures;
    int slots;

    /** Running and queued requests of all entries at the last load report. */
    int reportedRequests;

    /** Requests of the other entries at the last load report. */
    int otherEntriesRequests;

    /** Requests of this entry in flight. */
    int ownInFlight;

    long configVersion;
    String incarnation = "";
    String targetDigest = "";
    int chunksHeld;
    int chunksTotal;
    List<ReadyModel> ready = List.of();
    Set<String> configuredDigests = Set.of();

    Upstream(Instance instance, CircuitBreaker breaker, long nowNanos) {
        this.instance = instance;
        this.breaker = breaker;
        this.busyUntilNanos = nowNanos;
        this.lastContactNanos = nowNanos - UpstreamTable.CONTACT_TIMEOUT_NANOS;
        this.lastStatusNanos = lastContactNanos;
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
        boolean noRecentContact = nowNanos - lastContactNanos >= UpstreamTable.CONTACT_TIMEOUT_NANOS;
        boolean incomplete = !readyDigests().containsAll(configuredDigests);
        long maxAge = incomplete ? INCOMPLETE_STATUS_MAX_AGE_NANOS : COMPLETE_STATUS_MAX_AGE_NANOS;
        return noRecentContact || nowNanos - lastStatusNanos >= maxAge;
    }

    boolean acceptsRequests() {
        return contacted && !unreachable && !listedLeaving && !drained && !draining && !leavingNoticed;
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
     * Returns whether this entry may send another request. One request is always allowed, because otherwise the load of
     * the other entries would lock this entry out until the next load report.
     */
    boolean hasFreeSlot(boolean urgent, long nowNanos) {
        int available = effectiveSlots() - otherEntriesRequests;
        int urgentExtra = urgent ? Math.max(1, effectiveSlots() / URGENT_DIVISOR) : 0;
        return ownInFlight < Math.max(1, available) + urgentExtra && nowNanos - busyUntilNanos >= 0;
    }

    int effectiveSlots() {
        return slots > 0 ? slots : DEFAULT_SLOTS;
    }

    String unavailableReason() {
        if (listedLeaving || leavingNoticed) {
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
