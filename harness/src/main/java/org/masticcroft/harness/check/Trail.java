package org.masticcroft.harness.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.masticcroft.harness.history.Mark;
import org.masticcroft.harness.history.Request;
import org.masticcroft.harness.json.Json;
import org.masticcroft.harness.ledger.Execution;

/** All that is known of the requests in a violation, in order of time. */
final class Trail {
    /** Marks this long before the first and after the last event of a trail are shown. */
    private static final long CONTEXT_MS = 10_000;

    private record Line(long timeMs, String text) {}

    private final List<Line> lines = new ArrayList<>();

    private Trail() {}

    static Trail of(Evidence evidence, Violation violation) {
        Trail trail = new Trail();
        Set<Execution> executions = new LinkedHashSet<>();
        for (List<Request> copies : evidence.requestsByToken().values()) {
            if (copies.stream().anyMatch(copy -> violation.requestIds().contains(copy.id()))) {
                copies.forEach(trail::add);
                copies.forEach(copy -> executions.addAll(evidence.executions(copy)));
            }
        }
        evidence.executions().stream()
                .filter(execution -> violation.executions().contains(execution.execution()))
                .forEach(executions::add);
        executions.forEach(trail::add);
        trail.addMarks(evidence.marks());
        return trail;
    }

    List<String> lines() {
        return lines.stream()
                .sorted(Comparator.comparingLong(Line::timeMs))
                .map(line -> "  " + line.timeMs() + " " + line.text())
                .toList();
    }

    private void add(Request request) {
        add(request.invoke().timeMs(), "invoke", request.invoke());
        request.outcome().ifPresent(outcome -> add(outcome.timeMs(), "outcome", outcome));
    }

    private void add(Execution execution) {
        add(execution.startMs(), "execution", execution);
    }

    private void addMarks(List<Mark> marks) {
        long first = lines.stream().mapToLong(Line::timeMs).min().orElse(0) - CONTEXT_MS;
        long last = lines.stream().mapToLong(Line::timeMs).max().orElse(0) + CONTEXT_MS;
        for (Mark mark : marks) {
            if (mark.timeMs() >= first && mark.timeMs() <= last) {
                add(mark.timeMs(), "mark", mark);
            }
        }
    }

    private void add(long timeMs, String type, Object value) {
        lines.add(new Line(timeMs, type + " " + Json.line(Json.tree(value))));
    }
}
