package org.masticcroft.gateway.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.masticcroft.gateway.generated.Suspicion;
import org.masticcroft.gateway.http.Address;

/**
 * The requests that the entries suspect, as their subscriptions state them. A sidecar tells them to all entries with
 * the load of its engine, a few at a time in turn, because each sidecar tells each entry. Used on the event loop only.
 */
final class ReportedSuspects {
    /** Most fingerprints in a report; they take 256 bytes, and a report goes to all entries several times a second. */
    static final int MAX_FINGERPRINTS = 32;

    private final Map<String, List<Long>> fingerprintsByEntry = new TreeMap<>();
    private int next;

    /**
     * Creates an empty set.
     *
     * @param firstTurn any number; sidecars with different ones begin with different requests
     */
    ReportedSuspects(int firstTurn) {
        this.next = firstTurn & Integer.MAX_VALUE;
    }

    /** Replaces what an entry has stated: the fingerprint of each request, once for each upstream that failed. */
    void record(Address entry, List<Long> fingerprints) {
        fingerprintsByEntry.put(entry.ip(), List.copyOf(fingerprints));
    }

    /** Forgets what all other entries have stated. */
    void retainAll(Set<Address> entries) {
        fingerprintsByEntry.keySet().retainAll(entries.stream().map(Address::ip).toList());
    }

    /** Returns the suspicions for the next report. */
    List<Suspicion> next() {
        List<Suspect> suspects = suspects();
        if (suspects.isEmpty()) {
            return List.of();
        }
        Map<String, Suspicion.Builder> byEntry = new LinkedHashMap<>();
        int first = next % suspects.size();
        int fingerprints = 0;
        int taken = 0;
        while (taken < suspects.size()) {
            Suspect suspect = suspects.get((first + taken) % suspects.size());
            if (fingerprints + suspect.failures > MAX_FINGERPRINTS) {
                break;
            }
            byEntry.computeIfAbsent(
                            suspect.entry, entry -> Suspicion.newBuilder().setEntry(entry))
                    .addAllFingerprints(Collections.nCopies(suspect.failures, suspect.fingerprint));
            fingerprints += suspect.failures;
            taken++;
        }
        next = first + taken;
        return byEntry.values().stream().map(Suspicion.Builder::build).toList();
    }

    private List<Suspect> suspects() {
        List<Suspect> suspects = new ArrayList<>();
        fingerprintsByEntry.forEach((entry, fingerprints) -> {
            Map<Long, Integer> failures = new LinkedHashMap<>();
            fingerprints.forEach(fingerprint -> failures.merge(fingerprint, 1, Integer::sum));
            failures.forEach((fingerprint, count) ->
                    suspects.add(new Suspect(entry, fingerprint, Math.min(count, MAX_FINGERPRINTS))));
        });
        return suspects;
    }

    /** A request with the number of upstreams that failed with it at an entry, which one report has to state. */
    private record Suspect(String entry, long fingerprint, int failures) {}
}
