package org.masticcroft.harness.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.masticcroft.harness.answer.AnswerToken;
import org.masticcroft.harness.history.Invoke;
import org.masticcroft.harness.history.Kind;
import org.masticcroft.harness.history.Outcome;
import org.masticcroft.harness.history.Request;
import org.masticcroft.harness.json.Json;

/** Invariant 2: a caller receives the complete response to its own request, or an error. */
public final class CompleteOwnResponse implements Invariant {
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
                findProblem(request.invoke(), outcome)
                        .ifPresent(message -> finding.add(Violation.of(request, message)));
            });
        }
        return finding.build();
    }

    private static Optional<String> findProblem(Invoke invoke, Outcome outcome) {
        boolean isReportedAsFailed =
                !outcome.error().isEmpty() || !outcome.code().isEmpty();
        if (!outcome.complete() && !isReportedAsFailed) {
            return Optional.of("the response ended early without an error");
        }
        if (invoke.kind() == Kind.CHAT) {
            return findChatProblem(invoke, outcome);
        }
        return outcome.complete() ? findServiceProblem(invoke, outcome) : Optional.empty();
    }

    private static Optional<String> findChatProblem(Invoke invoke, Outcome outcome) {
        Optional<List<AnswerToken>> parsed = AnswerToken.parse(outcome.answer());
        if (parsed.isEmpty()) {
            return Optional.of("the answer contains text that no engine produced");
        }
        List<AnswerToken> tokens = parsed.get();
        int total = invoke.maxTokens() > 0
                ? invoke.maxTokens()
                : tokens.stream().findFirst().map(AnswerToken::total).orElse(0);
        for (int i = 0; i < tokens.size(); i++) {
            AnswerToken expected = AnswerToken.of(i, total, invoke.promptSha256(), outcome.weightsDigest());
            if (!tokens.get(i).equals(expected)) {
                return Optional.of("token " + i + " is " + tokens.get(i) + " instead of " + expected);
            }
        }
        if (outcome.complete() && (tokens.isEmpty() || tokens.size() != total)) {
            return Optional.of("a response that ended as whole has " + tokens.size() + " tokens of " + total);
        }
        return Optional.empty();
    }

    private static Optional<String> findServiceProblem(Invoke invoke, Outcome outcome) {
        try {
            JsonNode echo = Json.parse(outcome.answer());
            boolean isOfThisRequest = invoke.kind() == Kind.ORDER
                    ? echo.path("body_sha256").asText().equals(invoke.bodySha256())
                    : echo.path("path").asText().contains(invoke.token());
            return isOfThisRequest ? Optional.empty() : Optional.of("the response is that of another request: " + echo);
        } catch (IllegalArgumentException e) {
            return Optional.of("the response is not that of a service: " + e.getMessage());
        }
    }
}
