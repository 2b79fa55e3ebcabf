package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Requests that may crash upstreams: those that were in flight when an upstream failed without a response. A request
 * that is involved in such failures of several upstreams is quarantined. Its caller may send it again through any
 * entry, so the entries tell each other about each failure. A response clears a request of suspicion, since a harmless
 * one that is sent often is in flight at many upstreams. Used on the event loop only.
 */
public final class CrashSuspects {
    /** Number of failed upstreams from which a request is quarantined. */
    private static final int UPSTREAMS_TO_QUARANTINE = 3;

    /**
     * Number of failed upstreams from which a repeatable request is reported to the other entries. An entry sends such
     * a request to a second upstream itself, so one failure shows little; any other request is reported after one.
     */
    private static final int UPSTREAMS_TO_REPORT_REPEATABLE = 2;

    /** Time after the last failure at which a request is forgotten; a crashed engine is back after some seconds. */
    private static final Duration RETENTION = Duration.ofSeconds(60);

    /** Maximum number of requests that are remembered. */
    private static final int MAX_SUSPECTS = 128;

    /** Maximum number of fingerprints in a report, which have to fit into one datagram. */
    private static final int MAX_REPORTED = 128;

    private final Map<Long, Suspect> suspects = new HashMap<>();

    private CrashSuspects() {}

    /** Creates an empty table. */
    public static CrashSuspects empty() {
        return new CrashSuspects();
    }

    /**
     * Records that an upstream failed without a response while a request was in flight there.
     *
     * @param fingerprint fingerprint of the request
     * @param upstream id of the upstream
     * @param repeatable whether the request may be sent to another upstream after a failure
     * @param nowNanos monotonic time in nanoseconds
     */
    public void recordFailure(long fingerprint, String upstream, boolean repeatable, long nowNanos) {
        recordFailure(fingerprint, upstream, nowNanos);
        if (suspects.containsKey(fingerprint)) {
            suspects.get(fingerprint).repeatable = repeatable;
        }
    }

    private void recordFailure(long fingerprint, String upstream, long nowNanos) {
        suspects.values().removeIf(suspect -> nowNanos - suspect.lastFailureNanos > RETENTION.toNanos());
        if (suspects.size() >= MAX_SUSPECTS && !suspects.containsKey(fingerprint)) {
            return;
        }
        Suspect suspect = suspects.computeIfAbsent(fingerprint, key -> new Suspect());
        suspect.upstreams.add(upstream);
        suspect.lastFailureNanos = nowNanos;
    }

    /**
     * Records the report of another entry.
     *
     * @param fingerprints one element for each upstream that failed while the request was in flight there
     * @param entry address of the entry
     * @param nowNanos monotonic time in nanoseconds
     */
    public void recordReport(List<Long> fingerprints, String entry, long nowNanos) {
        Map<Long, Integer> counts = new HashMap<>();
        for (long fingerprint : fingerprints) {
            int count = counts.merge(fingerprint, 1, Integer::sum);
            recordFailure(fingerprint, entry + "/" + count, nowNanos);
        }
    }

    /** Records that an upstream responded to a request and so survived it. */
    public void recordResponse(long fingerprint) {
        suspects.remove(fingerprint);
    }

    /** Returns whether no request is remembered. */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /** Returns whether an upstream recently failed without a response to a request. */
    public boolean suspected(long fingerprint, long nowNanos) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null && nowNanos - suspect.lastFailureNanos <= RETENTION.toNanos();
    }

    /** Returns whether a request must not be sent to any upstream. */
    public boolean quarantined(long fingerprint, long nowNanos) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null
                && nowNanos - suspect.lastFailureNanos <= RETENTION.toNanos()
                && suspect.upstreams.size() >= UPSTREAMS_TO_QUARANTINE;
    }

    /**
     * Returns the report to the other entries: the fingerprint of each request, once for each upstream that this entry
     * saw fail, up to the number that is enough for a quarantine. The last failures come first.
     */
    public List<Long> fingerprintsToReport() {
        List<Long> fingerprints = new ArrayList<>();
        suspects.entrySet().stream()
                .filter(entry -> entry.getValue().toReport())
                .sorted(Comparator.comparingLong((Map.Entry<Long, Suspect> entry) -> -entry.getValue().lastFailureNanos)
                        .thenComparing(Map.Entry::getKey))
                .map(entry -> Collections.nCopies(entry.getValue().failuresToReport(), entry.getKey()))
                .takeWhile(copies -> fingerprints.size() + copies.size() <= MAX_REPORTED)
                .forEachOrdered(fingerprints::addAll);
        return fingerprints;
    }

    private static final class Suspect {
        private final Set<String> upstreams = new HashSet<>();
        private boolean repeatable = true;
        private long lastFailureNanos;

        private boolean toReport() {
            int failures = failuresToReport();
            return failures >= (repeatable ? UPSTREAMS_TO_REPORT_REPEATABLE : 1);
        }

        private int failuresToReport() {
            return (int) Math.min(UPSTREAMS_TO_QUARANTINE, locallyObservedUpstreams());
        }

        /** Leaves out the reports of other entries, so that entries do not confirm each other's suspicions. */
        private long locallyObservedUpstreams() {
            return upstreams.stream()
                    .filter(upstream -> !upstream.contains("/"))
                    .count();
        }
    }
}
