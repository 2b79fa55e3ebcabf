package org.masticcroft.harness.check;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.masticcroft.harness.history.Kind;
import org.masticcroft.harness.history.Request;
import org.masticcroft.harness.ledger.Execution;

/** Invariant 4: at most one execution for each idempotency key, over all requests that carry it. */
public final class AtMostOnce implements Invariant {
    @Override
    public int number() {
        return 4;
    }

    @Override
    public String title() {
        return "non-idempotent calls run at most once";
    }

    @Override
    public Finding check(Evidence evidence) {
        Map<String, Set<String>> requestIds = new LinkedHashMap<>();
        Map<String, Set<Execution>> executions = new LinkedHashMap<>();
        for (Request request : evidence.requests()) {
            if (request.invoke().kind() == Kind.ORDER) {
                String key = request.invoke().idempotencyKey();
                requestIds
                        .computeIfAbsent(key, ignored -> new LinkedHashSet<>())
                        .add(request.id());
                executions
                        .computeIfAbsent(key, ignored -> new LinkedHashSet<>())
                        .addAll(evidence.executions(request));
            }
        }
        for (Execution execution : evidence.executions()) {
            if (!execution.idempotencyKey().isEmpty()) {
                executions
                        .computeIfAbsent(execution.idempotencyKey(), ignored -> new LinkedHashSet<>())
                        .add(execution);
            }
        }
        Finding.Builder finding = new Finding.Builder();
        executions.forEach((key, executionsOfKey) -> {
            finding.countCase();
            if (executionsOfKey.size() > 1) {
                List<String> sources =
                        executionsOfKey.stream().map(Execution::source).toList();
                finding.add(new Violation(
                        "key " + key + " was run " + executionsOfKey.size() + " times, by " + sources,
                        List.copyOf(requestIds.getOrDefault(key, Set.of())),
                        executionsOfKey.stream().map(Execution::execution).toList()));
            }
        });
        return finding.build();
    }
}
