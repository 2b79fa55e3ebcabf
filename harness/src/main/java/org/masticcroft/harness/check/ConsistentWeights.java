package org.masticcroft.harness.check;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.masticcroft.harness.answer.AnswerToken;
import org.masticcroft.harness.history.Kind;
import org.masticcroft.harness.history.Outcome;
import org.masticcroft.harness.history.Request;

/** Invariant 1: all tokens of an answer come from one set of weights, the one that the response header names. */
public final class ConsistentWeights implements Invariant {
    @Override
    public int number() {
        return 1;
    }

    @Override
    public String title() {
        return "no partial or mixed weights";
    }

    @Override
    public Finding check(Evidence evidence) {
        Finding.Builder finding = new Finding.Builder();
        for (Request request : evidence.requests()) {
            if (request.invoke().kind() == Kind.CHAT && request.outcome().isPresent()) {
                checkAnswer(request, request.outcome().get(), finding);
            }
        }
        return finding.build();
    }

    private static void checkAnswer(Request request, Outcome outcome, Finding.Builder finding) {
        Optional<List<AnswerToken>> tokens = AnswerToken.parse(outcome.answer());
        if (outcome.status() != 200 || tokens.isEmpty() || tokens.get().isEmpty()) {
            return;
        }
        finding.countCase();
        Set<String> weights = tokens.get().stream().map(AnswerToken::weights).collect(Collectors.toSet());
        String headerDigest = AnswerToken.shortDigest(outcome.weightsDigest());
        if (weights.size() > 1) {
            finding.add(Violation.of(request, "tokens from several sets of weights: " + weights));
        } else if (!weights.contains(headerDigest)) {
            finding.add(Violation.of(
                    request,
                    "tokens from weights " + weights + ", but the header names "
                            + (headerDigest.isEmpty() ? "none" : outcome.weightsDigest())));
        }
    }
}
