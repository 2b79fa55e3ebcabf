package org.masticcroft.entry.suspect;

import com.google.common.base.Ticker;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Counts for each request fingerprint the upstream crashes that are attributed to it. A fingerprint with at least one
 * crash is a suspect; two crashes quarantine it. Thread-safe; see the lock order of the entry package.
 */
public final class SuspectTable {
    /** Number of crashes at which a fingerprint is quarantined. */
    public static final int QUARANTINE_THRESHOLD = 2;

    private static final int MAX_FINGERPRINTS = 10_000;
    private static final Duration SUSPECT_LIFETIME = Duration.ofHours(1);

    /** Time within which all requests of a batch report the crash of their upstream. */
    private static final Duration CRASH_REPORT_WINDOW = Duration.ofSeconds(10);

    private final Cache<String, Integer> crashCounts;
    private final Cache<String, Crash> crashes;
    private final Map<String, Multiset<String>> running = new HashMap<>();

    private SuspectTable(TimeSource time) {
        Ticker ticker = new Ticker() {
            @Override
            public long read() {
                return time.nanoTime();
            }
        };
        this.crashCounts = CacheBuilder.newBuilder()
                .ticker(ticker)
                .maximumSize(MAX_FINGERPRINTS)
                .expireAfterWrite(SUSPECT_LIFETIME)
                .build();
        this.crashes = CacheBuilder.newBuilder()
                .ticker(ticker)
                .maximumSize(MAX_FINGERPRINTS)
                .expireAfterWrite(CRASH_REPORT_WINDOW)
                .build();
    }

    /** Creates an empty table. */
    public static SuspectTable of(TimeSource time) {
        return new SuspectTable(Objects.requireNonNull(time, "time"));
    }

    /** Returns the number of crashes attributed to a fingerprint. */
    public synchronized int crashCount(String fingerprint) {
        Integer count = crashCounts.getIfPresent(fingerprint);
        return count == null ? 0 : count;
    }

    /** Returns whether requests with this fingerprint are refused. */
    public boolean isQuarantined(String fingerprint) {
        return crashCount(fingerprint) >= QUARANTINE_THRESHOLD;
    }

    /** Returns whether a request may be sent to an upstream. Two suspects must not run on the same upstream. */
    public synchronized boolean mayRunOn(String upstream, String fingerprint) {
        return crashCount(fingerprint) == 0
                || suspectsOn(upstream).stream().allMatch(other -> other.equals(fingerprint));
    }

    /** Records that a request was sent to an upstream. */
    public synchronized void onStart(String upstream, String fingerprint) {
        running.computeIfAbsent(upstream, key -> HashMultiset.create()).add(fingerprint);
    }

    /** Records that a request on an upstream ended. */
    public synchronized void onEnd(String upstream, String fingerprint) {
        Multiset<String> requests = running.get(upstream);
        if (requests != null) {
            requests.remove(fingerprint);
            if (requests.isEmpty()) {
                running.remove(upstream);
            }
        }
    }

    /**
     * Records that an upstream crashed while it ran a request; must be called before {@link #onEnd}. If the upstream
     * ran a suspect, the crash is attributed to the suspect only.
     *
     * @param upstream name of the upstream
     * @param incarnation incarnation of the process that crashed
     * @param fingerprint fingerprint of the request
     * @return the new crash count, or 0 if the crash is not attributed to this request
     */
    public synchronized int onCrash(String upstream, String incarnation, String fingerprint) {
        String id = upstream + ' ' + incarnation;
        Crash crash = crashes.getIfPresent(id);
        if (crash == null) {
            crash = new Crash(suspectsOn(upstream), new HashSet<>());
            crashes.put(id, crash);
        }
        boolean attributed = crash.suspects.isEmpty() || crash.suspects.contains(fingerprint);
        if (!attributed || !crash.attributedTo.add(fingerprint)) {
            return 0;
        }
        int crashCount = crashCount(fingerprint) + 1;
        crashCounts.put(fingerprint, crashCount);
        logCrash(fingerprint, crashCount, upstream);
        return crashCount;
    }

    /** Applies a crash count that another entry reports, if it is higher. */
    public synchronized void onNotice(String fingerprint, int crashCount) {
        if (crashCount > crashCount(fingerprint)) {
            crashCounts.put(fingerprint, crashCount);
            logCrash(fingerprint, crashCount, "other-entry");
        }
    }

    private Set<String> suspectsOn(String upstream) {
        Set<String> suspects = new HashSet<>();
        Multiset<String> requests = running.get(upstream);
        if (requests != null) {
            requests.elementSet().stream()
                    .filter(fingerprint -> crashCount(fingerprint) > 0)
                    .forEach(suspects::add);
        }
        return suspects;
    }

    private static void logCrash(String fingerprint, int crashCount, String upstream) {
        Event event = crashCount >= QUARANTINE_THRESHOLD ? Event.REQUEST_QUARANTINED : Event.SUSPECT_MARKED;
        EventLog.warn(event, "fingerprint", fingerprint, "marks", crashCount, "upstream", upstream);
    }

    private record Crash(Set<String> suspects, Set<String> attributedTo) {}
}
