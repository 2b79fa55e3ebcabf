package org.masticcroft.gateway.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The data centres that the operator has evacuated, as this process last read them, and when it learned that an
 * evacuation was revoked. Used on the event loop only.
 */
public final class Evacuations {
    /**
     * Time after the store has come back from an older copy within which the operator writes lost records again, with a
     * margin for their reads.
     */
    private static final Duration REWRITE_TIME = Duration.ofSeconds(5);

    /**
     * Time after a full read within which the operator writes a lost revocation again. This process reads a request
     * within 2.9 s, so that one which is deferred for this time still takes effect within the 5 s that an evacuation
     * allows.
     */
    private static final Duration REVOCATION_REWRITE_TIME = Duration.ofMillis(1500);

    /** Time after which every copy contains a revocation; a copy is only some seconds old. */
    private static final Duration REVOCATION_RETENTION = Duration.ofSeconds(60);

    /**
     * Time after this process has learned of an evacuation at which requests without any response are withdrawn. The
     * network may still hold them and would deliver them later than the 5 s that an evacuation allows; this process
     * learns of it within 1.3 s, or within 2.9 s if its connection to the store has to be replaced.
     */
    private static final Duration WITHDRAWAL_DELAY = Duration.ofSeconds(2);

    private final Map<String, Long> requestedNanos = new HashMap<>();
    private final Map<String, Long> revokedNanos = new HashMap<>();

    /** Monotonic time at which each request was read that an older copy may state without its revocation. */
    private final Map<String, Long> deferredNanos = new HashMap<>();

    /** Evacuations in force that an older copy of the store lacks and that may be written again. */
    private final Set<String> awaited = new HashSet<>();

    private OptionalLong rewriteEndNanos = OptionalLong.empty();

    private Evacuations() {}

    /** Creates a state without evacuations. */
    public static Evacuations none() {
        return new Evacuations();
    }

    /** Records that the store has come back from a copy that may lack requests and revocations. */
    public void storeRestored(long nowNanos) {
        rewriteEndNanos = OptionalLong.of(nowNanos + REWRITE_TIME.toNanos());
    }

    /**
     * Defers a request of a full read if it may be one that was revoked after the copy of the store was made. It may as
     * well be a new one, written before this read, so it takes effect unless it is revoked again.
     *
     * @return whether the request is deferred
     */
    public boolean defer(String dataCentre, long nowNanos) {
        Long revoked = revokedNanos.get(dataCentre);
        if (rewriteEndNanos.isEmpty() || revoked == null || nowNanos - revoked >= REVOCATION_RETENTION.toNanos()) {
            return false;
        }
        deferredNanos.putIfAbsent(dataCentre, nowNanos);
        return true;
    }

    /** Returns the deferred requests that nobody has revoked again within the time for it; they take effect. */
    public List<String> notRevokedAgain(long nowNanos) {
        return deferredNanos.entrySet().stream()
                .filter(deferred -> nowNanos - deferred.getValue() >= REVOCATION_REWRITE_TIME.toNanos())
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the evacuations that are revoked by a full read without their requests. After a restore, they stay in
     * force until the time for writing them again is over.
     */
    public List<String> revokedBy(Collection<String> requested) {
        deferredNanos.keySet().retainAll(requested);
        List<String> missing = notAmong(requested);
        if (rewriteEndNanos.isEmpty()) {
            return missing;
        }
        awaited.addAll(missing);
        return List.of();
    }

    /**
     * Returns the evacuations that nobody has requested again within the time for it; they are revoked.
     *
     * @param confirmedNanos monotonic time up to which all records have been read
     */
    public List<String> notRequestedAgain(long confirmedNanos) {
        if (rewriteEndNanos.isEmpty() || confirmedNanos - rewriteEndNanos.getAsLong() < 0) {
            return List.of();
        }
        rewriteEndNanos = OptionalLong.empty();
        List<String> lost = List.copyOf(awaited);
        awaited.clear();
        return lost;
    }

    /** Records that the evacuation of a data centre is requested; returns false if this was known. */
    public boolean request(String dataCentre, long nowNanos) {
        awaited.remove(dataCentre);
        revokedNanos.remove(dataCentre);
        Long deferred = deferredNanos.remove(dataCentre);
        return requestedNanos.putIfAbsent(dataCentre, deferred == null ? nowNanos : deferred) == null;
    }

    /** Records that the evacuation of a data centre is revoked; returns false if none was in force. */
    public boolean revoke(String dataCentre, long nowNanos) {
        awaited.remove(dataCentre);
        deferredNanos.remove(dataCentre);
        boolean inForce = requestedNanos.remove(dataCentre) != null;
        if (inForce) {
            revokedNanos.put(dataCentre, nowNanos);
        }
        return inForce;
    }

    private List<String> notAmong(Collection<String> requested) {
        return requestedNanos.keySet().stream()
                .filter(dataCentre -> !requested.contains(dataCentre))
                .sorted()
                .toList();
    }

    /** Returns whether nothing may be sent to the upstreams of a data centre. */
    public boolean inForce(String dataCentre) {
        return requestedNanos.containsKey(dataCentre);
    }

    /** Returns whether requests at a data centre that have no response yet must be withdrawn. */
    public boolean withdrawsUnanswered(String dataCentre, long nowNanos) {
        Long requested = requestedNanos.get(dataCentre);
        return requested != null && nowNanos - requested >= WITHDRAWAL_DELAY.toNanos();
    }

    /** Returns the monotonic time in nanoseconds of the last revocation; empty if there was none since a request. */
    public OptionalLong revokedNanos(String dataCentre) {
        Long nanos = revokedNanos.get(dataCentre);
        return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
    }

    /** Returns the number of evacuated data centres. */
    public int count() {
        return requestedNanos.size();
    }
}
