package org.masticcroft.harness.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.masticcroft.harness.history.Mark;
import org.masticcroft.harness.history.Outcome;
import org.masticcroft.harness.history.Request;

/**
 * Invariant 7: an accepted configuration is in force everywhere within the bound and never reverts, neither at an entry
 * nor as seen by a caller. Only requests sent after the earlier response arrived are compared, so that their order is
 * certain.
 */
public final class ConfigInForce implements Invariant {
    /** Bound of the design in ms. */
    static final long BOUND_MS = 8_000;

    @Override
    public int number() {
        return 7;
    }

    @Override
    public String title() {
        return "a configuration is in force within 8 s and never reverts";
    }

    @Override
    public Finding check(Evidence evidence) {
        Finding.Builder finding = new Finding.Builder();
        List<Request> seen = evidence.requests().stream()
                .filter(request ->
                        request.outcome().filter(ConfigInForce::acted).isPresent())
                .toList();
        checkBound(seen, evidence.marks(), finding);
        checkOrder(seen, request -> "caller " + request.invoke().key(), List.of(), finding);
        checkOrder(
                seen,
                request -> "entry " + request.invoke().entry(),
                evidence.marks().stream()
                        .filter(mark -> mark.kind().equals(Mark.STARTED))
                        .toList(),
                finding);
        return finding.build();
    }

    /** An entry that refuses because it is behind does not act on its version. */
    private static boolean acted(Outcome outcome) {
        return outcome.configVersion() > 0 && !(outcome.status() == 503 && outcome.isNotRun());
    }

    private static void checkBound(List<Request> seen, List<Mark> marks, Finding.Builder finding) {
        for (Mark mark : marks) {
            if (mark.kind().equals(Mark.CONFIG_ACCEPTED)) {
                long version = Long.parseLong(mark.name());
                for (Request request : seen) {
                    long after = request.invoke().timeMs() - mark.timeMs();
                    if (after >= BOUND_MS) {
                        finding.countCase();
                        if (version(request) < version) {
                            finding.add(Violation.of(
                                    request,
                                    "served under version " + version(request) + ", " + after + " ms after version "
                                            + version + " was accepted"));
                        }
                    }
                }
            }
        }
    }

    private static void checkOrder(
            List<Request> seen, Function<Request, String> group, List<Mark> restarts, Finding.Builder finding) {
        Map<String, List<Request>> groups = new TreeMap<>();
        seen.forEach(request -> groups.computeIfAbsent(group.apply(request), key -> new ArrayList<>())
                .add(request));
        groups.forEach((name, requests) -> checkGroup(name, requests, restarts, finding));
    }

    private static void checkGroup(String name, List<Request> requests, List<Mark> restarts, Finding.Builder finding) {
        List<Request> byEnd =
                sorted(requests, request -> request.outcome().orElseThrow().timeMs());
        Request highest = null;
        int next = 0;
        for (Request request : sorted(requests, each -> each.invoke().timeMs())) {
            finding.countCase();
            while (next < byEnd.size()
                    && byEnd.get(next).outcome().orElseThrow().timeMs()
                            < request.invoke().timeMs()) {
                Request ended = byEnd.get(next++);
                highest = highest == null || version(ended) > version(highest) ? ended : highest;
            }
            if (highest != null && version(request) < version(highest) && !isRestarted(restarts, highest, request)) {
                finding.add(new Violation(
                        name + " went back from version " + version(highest) + " to " + version(request),
                        List.of(highest.id(), request.id()),
                        List.of()));
            }
        }
    }

    /** A new process at the address of an entry has not seen what the old one had. */
    private static boolean isRestarted(List<Mark> restarts, Request earlier, Request later) {
        return restarts.stream()
                .anyMatch(mark -> mark.name().equals(later.invoke().entry())
                        && mark.timeMs() >= earlier.invoke().timeMs()
                        && mark.timeMs() <= later.outcome().orElseThrow().timeMs());
    }

    private static List<Request> sorted(List<Request> requests, ToLongFunction<Request> time) {
        return requests.stream().sorted(Comparator.comparingLong(time)).toList();
    }

    private static long version(Request request) {
        return request.outcome().orElseThrow().configVersion();
    }
}
