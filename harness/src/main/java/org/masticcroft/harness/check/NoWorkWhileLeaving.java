package org.masticcroft.harness.check;

import java.util.List;
import java.util.OptionalLong;
import org.masticcroft.harness.history.Mark;
import org.masticcroft.harness.ledger.Execution;

/** Invariant 5: a leaving upstream starts no execution later than 3 s after it began to leave, until it returns. */
public final class NoWorkWhileLeaving implements Invariant {
    /** Time in ms after which the design allows a leaving upstream no new work. */
    static final long BOUND_MS = 3_000;

    @Override
    public int number() {
        return 5;
    }

    @Override
    public String title() {
        return "a leaving upstream receives no new work after 3 s";
    }

    @Override
    public Finding check(Evidence evidence) {
        Finding.Builder finding = new Finding.Builder();
        List<Mark> marks = evidence.marks();
        for (Mark leaving : marks) {
            if (leaving.kind().equals(Mark.LEAVING)) {
                finding.countCase();
                checkLeaving(evidence, leaving, returnTime(marks, leaving), finding);
            }
        }
        return finding.build();
    }

    private static void checkLeaving(
            Evidence evidence, Mark leaving, OptionalLong returnedMs, Finding.Builder finding) {
        for (Execution execution : evidence.executions()) {
            long elapsedMs = execution.startMs() - leaving.timeMs();
            boolean hasReturned = returnedMs.isPresent() && execution.startMs() >= returnedMs.getAsLong();
            if (execution.source().equals(leaving.name()) && elapsedMs > BOUND_MS && !hasReturned) {
                finding.add(new Violation(
                        "request " + execution.requestId() + " started on " + execution.source() + " " + elapsedMs
                                + " ms after it began to leave",
                        requestIds(evidence, execution),
                        List.of(execution.execution())));
            }
        }
    }

    private static List<String> requestIds(Evidence evidence, Execution execution) {
        return evidence.requests().stream()
                .filter(request -> evidence.executions(request).contains(execution))
                .map(request -> request.id())
                .toList();
    }

    private static OptionalLong returnTime(List<Mark> marks, Mark leaving) {
        return marks.stream()
                .filter(mark -> mark.kind().equals(Mark.RETURNED) && mark.name().equals(leaving.name()))
                .mapToLong(Mark::timeMs)
                .filter(time -> time >= leaving.timeMs())
                .min();
    }
}
