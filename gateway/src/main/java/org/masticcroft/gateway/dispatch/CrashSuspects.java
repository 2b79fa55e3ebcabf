package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Requests that may crash upstreams: those that were in flight when an upstream failed without a response. A request
 * that is involved in such failures of several upstreams is quarantined. Its caller may send it again through any
 * entry, so the entries tell each other about their suspects. Used on the event loop only.
 */
public final class CrashSuspects {
    /** Number of failed upstreams from which a request is quarantined. */
    private static final int UPSTREAMS_TO_QUARANTINE = 3;

    /** Number of failed upstreams from which a request is reported to the other entries. */
    private static final int UPSTREAMS_TO_REPORT = 2;

    /** Time after the last failure at which a request is forgotten; a crashed engine is back after some seconds. */
    private static final Duration RETENTION = Duration.ofSeconds(60);

    /** Maximum number of requests that are remembered; their fingerprints fit into one datagram. */
    private static final int MAX_SUSPECTS = 128;

    private final Map<Long, Suspect> suspects = new HashMap<>();

    private CrashSuspects() {}

    /** Creates an empty table. */
    public static CrashSuspects empty() {
        return new CrashSuspects();
    }

    /** Records that an upstream failed without a response while a request was in flight there. */
    public void recordFailure(long fingerprint, String upstream, long nowNanos) {
        suspects.values().removeIf(suspect -> nowNanos - suspect.lastFailureNanos > RETENTION.toNanos());
        if (suspects.size() >= MAX_SUSPECTS && !suspects.containsKey(fingerprint)) {
            return;
        }
        Suspect suspect = suspects.computeIfAbsent(fingerprint, key -> new Suspect());
        suspect.upstreams.add(upstream);
        suspect.lastFailureNanos = nowNanos;
    }

    /** Records the report of another entry that a request was in flight when two upstreams failed. */
    public void recordReport(long fingerprint, String entry, long nowNanos) {
        recordFailure(fingerprint, entry + "/1", nowNanos);
        recordFailure(fingerprint, entry + "/2", nowNanos);
    }

    /** Returns whether no request is remembered. */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /** Returns whether a request must not be sent to any upstream. */
    public boolean quarantined(long fingerprint, long nowNanos) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null
                && nowNanos - suspect.lastFailureNanos <= RETENTION.toNanos()
                && suspect.upstreams.size() >= UPSTREAMS_TO_QUARANTINE;
    }

    /** Returns the fingerprints of the requests that are reported to the other entries. */
    public List<Long> fingerprintsToReport() {
        List<Long> fingerprints = new ArrayList<>();
        suspects.forEach((fingerprint, suspect) -> {
            if (suspect.locallyObservedUpstreams() >= UPSTREAMS_TO_REPORT) {
                fingerprints.add(fingerprint);
            }
        });
        return fingerprints;
    }

    private static final class Suspect {
        private final Set<String> upstreams = new HashSet<>();
        private long lastFailureNanos;

        /** Leaves out the reports of other entries, so that entries do not confirm each other's suspicions. */
        private long locallyObservedUpstreams() {
            return upstreams.stream()
                    .filter(upstream -> !upstream.contains("/"))
                    .count();
        }
    }
}
