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
 * Counts for each request fingerprint the upstreams that crashed while they ran it. Two marks quarantine it. Safe for
 * use by many threads; see the lock order of the entry package.
 */
public final class SuspectTable {
    /** Marks at which a fingerprint is quarantined. */
    public static final int QUARANTINE_MARKS = 2;

    private static final int MAX_FINGERPRINTS = 10_000;
    private static final Duration MARK_LIFETIME = Duration.ofHours(1);

    /** All requests of one batch learn of its crash within this time. */
    private static final Duration CRASH_LIFETIME = Duration.ofSeconds(10);

    private final Cache<String, Integer> marks;
    private final Cache<String, Crash> crashes;
    private final Map<String, Multiset<String>> running = new HashMap<>();

    private SuspectTable(TimeSource time) {
        Ticker ticker = new Ticker() {
            @Override
            public long read() {
                return time.nanoTime();
            }
        };
        this.marks = CacheBuilder.newBuilder()
                .ticker(ticker)
                .maximumSize(MAX_FINGERPRINTS)
                .expireAfterWrite(MARK_LIFETIME)
                .build();
        this.crashes = CacheBuilder.newBuilder()
                .ticker(ticker)
                .maximumSize(MAX_FINGERPRINTS)
                .expireAfterWrite(CRASH_LIFETIME)
                .build();
    }

    /** Creates an empty table. */
    public static SuspectTable of(TimeSource time) {
        return new SuspectTable(Objects.requireNonNull(time, "time"));
    }

    /** Returns the number of crashes attributed to a fingerprint. */
    public synchronized int marks(String fingerprint) {
        Integer count = marks.getIfPresent(fingerprint);
        return count == null ? 0 : count;
    }

    /** Returns whether requests with this fingerprint are refused. */
    public boolean isQuarantined(String fingerprint) {
        return marks(fingerprint) >= QUARANTINE_MARKS;
    }

    /** Returns whether a request may be sent to an upstream: a suspect must not share one with another suspect. */
    public synchronized boolean mayRunOn(String upstream, String fingerprint) {
        return marks(fingerprint) == 0 || suspectsOn(upstream).stream().allMatch(other -> other.equals(fingerprint));
    }

    /** Notes that a request was sent to an upstream. */
    public synchronized void onStart(String upstream, String fingerprint) {
        running.computeIfAbsent(upstream, key -> HashMultiset.create()).add(fingerprint);
    }

    /** Notes that a request on an upstream ended. */
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
     * Notes that an upstream crashed while it ran a request; to be called before {@link #onEnd}. If the upstream ran a
     * suspect, only the suspect is marked.
     *
     * @param upstream name of the upstream
     * @param incarnation incarnation of the process that crashed
     * @param fingerprint the request
     * @return the new number of marks, or 0 if the crash is not attributed to this request
     */
    public synchronized int onCrash(String upstream, String incarnation, String fingerprint) {
        String id = upstream + ' ' + incarnation;
        Crash crash = crashes.getIfPresent(id);
        if (crash == null) {
            crash = new Crash(suspectsOn(upstream), new HashSet<>());
            crashes.put(id, crash);
        }
        boolean attributed = crash.suspects.isEmpty() || crash.suspects.contains(fingerprint);
        if (!attributed || !crash.marked.add(fingerprint)) {
            return 0;
        }
        int count = marks(fingerprint) + 1;
        marks.put(fingerprint, count);
        report(fingerprint, count, upstream);
        return count;
    }

    /** Takes over the count that another entry reports. */
    public synchronized void onNotice(String fingerprint, int count) {
        if (count > marks(fingerprint)) {
            marks.put(fingerprint, count);
            report(fingerprint, count, "other-entry");
        }
    }

    private Set<String> suspectsOn(String upstream) {
        Set<String> suspects = new HashSet<>();
        Multiset<String> requests = running.get(upstream);
        if (requests != null) {
            requests.elementSet().stream()
                    .filter(fingerprint -> marks(fingerprint) > 0)
                    .forEach(suspects::add);
        }
        return suspects;
    }

    private static void report(String fingerprint, int count, String upstream) {
        Event event = count >= QUARANTINE_MARKS ? Event.REQUEST_QUARANTINED : Event.SUSPECT_MARKED;
        EventLog.warn(event, "fingerprint", fingerprint, "marks", count, "upstream", upstream);
    }

    private record Crash(Set<String> suspects, Set<String> marked) {}
}
