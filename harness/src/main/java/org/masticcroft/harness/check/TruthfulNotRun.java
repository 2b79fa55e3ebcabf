package org.masticcroft.harness.check;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.masticcroft.harness.history.Request;
import org.masticcroft.harness.ledger.Execution;

/**
 * Invariant 3: a request whose caller was told {@code NOT_RUN} was not run. An execution that may belong to a re-sent
 * copy of the same order does not count, unless it carries the request id of the request that was reported as not run.
 */
public final class TruthfulNotRun implements Invariant {
    @Override
    public int number() {
        return 3;
    }

    @Override
    public String title() {
        return "NOT_RUN means that it was not run";
    }

    @Override
    public Finding check(Evidence evidence) {
        Finding.Builder finding = new Finding.Builder();
        for (List<Request> copies : evidence.requestsByToken().values()) {
            for (Request request : copies) {
                if (request.isNotRun()) {
                    finding.countCase();
                    contradictingExecutions(evidence, request, copies)
                            .forEach(execution -> finding.add(Violation.of(
                                    request,
                                    execution,
                                    "reported as not run, but run by " + execution.source() + " as request "
                                            + execution.requestId())));
                }
            }
        }
        return finding.build();
    }

    private static Set<Execution> contradictingExecutions(Evidence evidence, Request request, List<Request> copies) {
        Set<Execution> contradicting = new LinkedHashSet<>(
                evidence.executionsByRequestId(request.outcome().orElseThrow().requestId()));
        for (Execution execution : evidence.executions(request)) {
            boolean mayBelongToCopy = copies.stream()
                    .anyMatch(copy -> !copy.isNotRun() && copy.invoke().timeMs() <= execution.startMs());
            if (!mayBelongToCopy && request.invoke().timeMs() <= execution.startMs()) {
                contradicting.add(execution);
            }
        }
        return contradicting;
    }
}
