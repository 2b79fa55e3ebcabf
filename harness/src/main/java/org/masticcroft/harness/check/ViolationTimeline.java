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

/** All recorded events of the requests in a violation, and marks around them, in the order of their times. */
final class ViolationTimeline {
    /** Marks up to this time before the first and after the last event of the requests are included. */
    private static final long CONTEXT_MS = 10_000;

    private record Line(long timeMs, String text) {}

    private final List<Line> lines = new ArrayList<>();

    private ViolationTimeline() {}

    static ViolationTimeline of(Evidence evidence, Violation violation) {
        ViolationTimeline timeline = new ViolationTimeline();
        Set<Execution> executions = new LinkedHashSet<>();
        for (List<Request> copies : evidence.requestsByToken().values()) {
            if (copies.stream().anyMatch(copy -> violation.requestIds().contains(copy.id()))) {
                copies.forEach(timeline::add);
                copies.forEach(copy -> executions.addAll(evidence.executions(copy)));
            }
        }
        evidence.executions().stream()
                .filter(execution -> violation.executions().contains(execution.execution()))
                .forEach(executions::add);
        executions.forEach(timeline::add);
        timeline.addMarks(evidence.marks());
        return timeline;
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
