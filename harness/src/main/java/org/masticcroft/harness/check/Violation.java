package org.masticcroft.harness.check;

import java.util.List;
import java.util.Objects;
import org.masticcroft.harness.history.Request;
import org.masticcroft.harness.ledger.Execution;

/**
 * A violation of an invariant.
 *
 * @param message description of the violation
 * @param requestIds ids in the history of the requests concerned
 * @param executions ids of the executions concerned
 */
public record Violation(String message, List<String> requestIds, List<String> executions) {
    public Violation {
        Objects.requireNonNull(message, "message");
        requestIds = List.copyOf(requestIds);
        executions = List.copyOf(executions);
    }

    /** Creates a violation by one request. */
    public static Violation of(Request request, String message) {
        return new Violation(message, List.of(request.id()), List.of());
    }

    /** Creates a violation by one request and one of its executions. */
    public static Violation of(Request request, Execution execution, String message) {
        return new Violation(message, List.of(request.id()), List.of(execution.execution()));
    }
}
