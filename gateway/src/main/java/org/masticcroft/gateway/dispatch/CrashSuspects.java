package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Requests that were on their way when upstreams broke off. A request that was there each time may be what crashes
 * them; its caller sends it again, at any entry. Used on the event loop only.
 */
public final class CrashSuspects {
    /** Upstreams that broke off, after which a request is no longer passed on. */
    private static final int UPSTREAMS_TO_QUARANTINE = 3;

    /** Upstreams that broke off, after which the other entries are told of a request. */
    private static final int UPSTREAMS_TO_TELL = 2;

    /** Time after which a request is forgotten; a crashed engine is back after some seconds. */
    private static final Duration LIFETIME = Duration.ofSeconds(60);

    /** Requests that are remembered; the fingerprints of that many fit into one datagram. */
    private static final int MAX_SUSPECTS = 128;

    private final Map<Long, Suspect> suspects = new HashMap<>();

    private CrashSuspects() {}

    /** Creates an empty table. */
    public static CrashSuspects empty() {
        return new CrashSuspects();
    }

    /** Records that an upstream broke off while it had a request. */
    public void recordFailure(long fingerprint, String upstream, long nowNanos) {
        suspects.values().removeIf(suspect -> nowNanos - suspect.lastNanos > LIFETIME.toNanos());
        if (suspects.size() >= MAX_SUSPECTS && !suspects.containsKey(fingerprint)) {
            return;
        }
        Suspect suspect = suspects.computeIfAbsent(fingerprint, key -> new Suspect());
        suspect.upstreams.add(upstream);
        suspect.lastNanos = nowNanos;
    }

    /** Records that another entry has seen two upstreams break off with a request. */
    public void recordReport(long fingerprint, String entry, long nowNanos) {
        recordFailure(fingerprint, entry + "/1", nowNanos);
        recordFailure(fingerprint, entry + "/2", nowNanos);
    }

    /** Returns whether any request is remembered. */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /** Returns whether a request must not be passed on. */
    public boolean quarantined(long fingerprint, long nowNanos) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null
                && nowNanos - suspect.lastNanos <= LIFETIME.toNanos()
                && suspect.upstreams.size() >= UPSTREAMS_TO_QUARANTINE;
    }

    /** Returns the fingerprints that the other entries are told. */
    public List<Long> fingerprintsToReport() {
        List<Long> told = new ArrayList<>();
        suspects.forEach((fingerprint, suspect) -> {
            if (suspect.ownUpstreams() >= UPSTREAMS_TO_TELL) {
                told.add(fingerprint);
            }
        });
        return told;
    }

    private static final class Suspect {
        private final Set<String> upstreams = new HashSet<>();
        private long lastNanos;

        /** Counts without what other entries told, so that entries do not confirm each other. */
        private long ownUpstreams() {
            return upstreams.stream()
                    .filter(upstream -> !upstream.contains("/"))
                    .count();
        }
    }
}
