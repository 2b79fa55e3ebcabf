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
 * Invariant 7: an accepted configuration is in force at every entry within 8 s and never reverts, neither at an entry
 * nor for a caller. A request is compared only with responses that arrived before it was sent, so that their order is
 * certain.
 */
public final class ConfigInForce implements Invariant {
    /** Time in ms within which the design requires an accepted configuration to be in force. */
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
        List<Request> answered = evidence.requests().stream()
                .filter(request -> request.outcome()
                        .filter(ConfigInForce::hasAppliedVersion)
                        .isPresent())
                .toList();
        checkPropagation(answered, evidence.marks(), finding);
        checkMonotonic(answered, request -> "caller " + request.invoke().key(), List.of(), finding);
        checkMonotonic(
                answered,
                request -> "entry " + request.invoke().entry(),
                evidence.marks().stream()
                        .filter(mark -> mark.kind().equals(Mark.STARTED))
                        .toList(),
                finding);
        return finding.build();
    }

    /** An entry that refuses a request because its configuration is out of date does not apply that configuration. */
    private static boolean hasAppliedVersion(Outcome outcome) {
        return outcome.configVersion() > 0 && !(outcome.status() == 503 && outcome.isNotRun());
    }

    private static void checkPropagation(List<Request> answered, List<Mark> marks, Finding.Builder finding) {
        for (Mark mark : marks) {
            if (mark.kind().equals(Mark.CONFIG_ACCEPTED)) {
                long version = Long.parseLong(mark.name());
                for (Request request : answered) {
                    long elapsedMs = request.invoke().timeMs() - mark.timeMs();
                    if (elapsedMs >= BOUND_MS) {
                        finding.countCase();
                        if (version(request) < version) {
                            finding.add(Violation.of(
                                    request,
                                    "served under version " + version(request) + ", " + elapsedMs + " ms after version "
                                            + version + " was accepted"));
                        }
                    }
                }
            }
        }
    }

    private static void checkMonotonic(
            List<Request> answered, Function<Request, String> groupName, List<Mark> restarts, Finding.Builder finding) {
        Map<String, List<Request>> groups = new TreeMap<>();
        answered.forEach(request -> groups.computeIfAbsent(groupName.apply(request), key -> new ArrayList<>())
                .add(request));
        groups.forEach((name, requests) -> checkGroup(name, requests, restarts, finding));
    }

    private static void checkGroup(String name, List<Request> requests, List<Mark> restarts, Finding.Builder finding) {
        List<Request> byEnd =
                sorted(requests, request -> request.outcome().orElseThrow().timeMs());
        Request highest = null;
        int nextEnded = 0;
        for (Request request : sorted(requests, sent -> sent.invoke().timeMs())) {
            finding.countCase();
            while (nextEnded < byEnd.size()
                    && byEnd.get(nextEnded).outcome().orElseThrow().timeMs()
                            < request.invoke().timeMs()) {
                Request ended = byEnd.get(nextEnded++);
                highest = highest == null || version(ended) > version(highest) ? ended : highest;
            }
            if (highest != null
                    && version(request) < version(highest)
                    && !isRestartedBetween(restarts, highest, request)) {
                finding.add(new Violation(
                        name + " went back from version " + version(highest) + " to " + version(request),
                        List.of(highest.id(), request.id()),
                        List.of()));
            }
        }
    }

    /** A new process at the address of an entry does not have the configuration that the previous process had. */
    private static boolean isRestartedBetween(List<Mark> restarts, Request earlier, Request later) {
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
