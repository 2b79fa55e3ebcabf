package org.masticcroft.harness.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.masticcroft.harness.answer.Marker;
import org.masticcroft.harness.history.Invoke;
import org.masticcroft.harness.history.Kind;
import org.masticcroft.harness.history.Outcome;
import org.masticcroft.harness.history.Request;
import org.masticcroft.harness.json.Json;

/** Invariant 2: a caller receives the whole response to its own request, or an error. */
public final class OwnWholeAnswer implements Invariant {
    @Override
    public int number() {
        return 2;
    }

    @Override
    public String title() {
        return "the complete response to its own request";
    }

    @Override
    public Finding check(Evidence evidence) {
        Finding.Builder finding = new Finding.Builder();
        for (Request request : evidence.requests()) {
            request.outcome().filter(outcome -> outcome.status() == 200).ifPresent(outcome -> {
                finding.countCase();
                problem(request.invoke(), outcome).ifPresent(message -> finding.add(Violation.of(request, message)));
            });
        }
        return finding.build();
    }

    private static Optional<String> problem(Invoke invoke, Outcome outcome) {
        boolean isReportedAsFailed =
                !outcome.error().isEmpty() || !outcome.code().isEmpty();
        if (!outcome.complete() && !isReportedAsFailed) {
            return Optional.of("the response ended early without an error");
        }
        if (invoke.kind() == Kind.CHAT) {
            return chatProblem(invoke, outcome);
        }
        return outcome.complete() ? echoProblem(invoke, outcome) : Optional.empty();
    }

    private static Optional<String> chatProblem(Invoke invoke, Outcome outcome) {
        Optional<List<Marker>> parsed = Marker.parse(outcome.answer());
        if (parsed.isEmpty()) {
            return Optional.of("the answer contains text that no engine produced");
        }
        List<Marker> markers = parsed.get();
        int total = invoke.maxTokens() > 0
                ? invoke.maxTokens()
                : markers.stream().findFirst().map(Marker::total).orElse(0);
        for (int i = 0; i < markers.size(); i++) {
            Marker expected = Marker.of(i, total, invoke.promptSha256(), outcome.weightsDigest());
            if (!markers.get(i).equals(expected)) {
                return Optional.of("token " + i + " is " + markers.get(i) + " instead of " + expected);
            }
        }
        if (outcome.complete() && (markers.isEmpty() || markers.size() != total)) {
            return Optional.of("a response that ended as whole has " + markers.size() + " tokens of " + total);
        }
        return Optional.empty();
    }

    private static Optional<String> echoProblem(Invoke invoke, Outcome outcome) {
        try {
            JsonNode echo = Json.parse(outcome.answer());
            boolean isOwn = invoke.kind() == Kind.ORDER
                    ? echo.path("body_sha256").asText().equals(invoke.bodySha256())
                    : echo.path("path").asText().contains(invoke.token());
            return isOwn ? Optional.empty() : Optional.of("the response is that of another request: " + echo);
        } catch (IllegalArgumentException e) {
            return Optional.of("the response is not that of a service: " + e.getMessage());
        }
    }
}
