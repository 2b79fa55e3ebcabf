package org.masticcroft.gateway.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.masticcroft.gateway.dispatch.Upstream;
import org.masticcroft.gateway.dispatch.UpstreamTable;
import org.masticcroft.gateway.fleet.ListingHistory;

/**
 * Removals of upstreams after an outage of the store. Listings that expired during the outage return within seconds, so
 * removals of a large part of a service are deferred for that time. A removal of few upstreams is planned work and
 * takes effect at once, because the upstreams exit soon. If the store came back from an older copy, upstreams that the
 * copy does not list have not been removed; they write their listings again, and none of them is dropped before that.
 */
final class DeferredRemovals {
    /** Time after the end of an outage within which expired listings return. */
    private static final Duration RETURN_TIME = Duration.ofMillis(2000);

    /**
     * Time after the first read of an older copy within which missing listings return: the upstreams write them again
     * after about 2 s, and this process reads them up to a second later.
     */
    private static final Duration REGISTRATION_TIME = Duration.ofMillis(3000);

    /** Fraction of the upstreams of a service that planned work removes at a time at most, as a divisor. */
    private static final int PLANNED_DIVISOR = 3;

    private final UpstreamTable upstreams;
    private final ListingHistory history;
    private final Set<String> pending = new LinkedHashSet<>();
    private final Set<String> missing = new LinkedHashSet<>();
    private final Map<String, Integer> appliedByService = new HashMap<>();
    private boolean active;
    private long endNanos;
    private boolean copyUnconfirmed;

    /** Monotonic time up to which all records of the list have been read. */
    private long confirmedNanos;

    DeferredRemovals(UpstreamTable upstreams, ListingHistory history) {
        this.upstreams = upstreams;
        this.history = history;
    }

    /** Begins to defer removals because the store answers again. */
    void begin(long nowNanos) {
        active = true;
        endNanos = nowNanos + RETURN_TIME.toNanos();
        appliedByService.clear();
    }

    /** Begins to defer removals because the store has come back from an older copy. */
    void beginAfterRestore(long nowNanos) {
        begin(nowNanos);
        endNanos = nowNanos + REGISTRATION_TIME.toNanos();
        confirmedNanos = nowNanos;
        copyUnconfirmed = true;
    }

    /** Records that all records which were written before a monotonic time have been read. */
    void confirmedAt(long nanos) {
        confirmedNanos = nanos;
    }

    /** Returns whether removals have to be added here. */
    boolean active() {
        return active;
    }

    /** Adds a removal that was read. It counts for the history from now on, so that no older copy cancels it. */
    void add(String id) {
        history.remove(id);
        pending.add(id);
    }

    /** Adds an upstream that a full read of the list did not contain. */
    void addMissing(String id) {
        if (copyUnconfirmed) {
            missing.add(id);
        } else {
            add(id);
        }
    }

    /** Forgets the removal of an upstream that is listed again. */
    void cancel(String id) {
        pending.remove(id);
        missing.remove(id);
    }

    /**
     * Applies the removals that are planned work, and all of them once the expired listings must have returned. A
     * missing upstream is removed only after a read that would have shown its return.
     */
    void apply(long nowNanos) {
        if (!active) {
            return;
        }
        boolean ended = nowNanos - endNanos >= 0;
        boolean finished = ended && (missing.isEmpty() || confirmedNanos - endNanos >= 0);
        if (finished) {
            pending.addAll(missing);
        }
        if (!pending.isEmpty()) {
            Map<String, List<Upstream>> listedByService = upstreams.listed().stream()
                    .collect(
                            Collectors.groupingBy(upstream -> upstream.listing().service()));
            listedByService.forEach((service, listed) -> applyIn(service, listed, ended, nowNanos));
        }
        if (finished) {
            active = false;
            copyUnconfirmed = false;
            pending.clear();
            missing.clear();
        }
    }

    private void applyIn(String service, List<Upstream> listed, boolean ended, long nowNanos) {
        List<String> removed =
                listed.stream().map(Upstream::id).filter(pending::contains).toList();
        int applied = appliedByService.getOrDefault(service, 0);
        if (ended || (applied + removed.size()) * PLANNED_DIVISOR <= applied + listed.size()) {
            removed.forEach(id -> upstreams.remove(id, nowNanos));
            removed.forEach(history::remove);
            removed.forEach(pending::remove);
            appliedByService.put(service, applied + removed.size());
        }
    }
}
