package org.masticcroft.harness.check;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.masticcroft.harness.answer.Marker;
import org.masticcroft.harness.history.Kind;
import org.masticcroft.harness.history.Outcome;
import org.masticcroft.harness.history.Request;

/** Invariant 1: all tokens of an answer come from one set of weights, the one that the header names. */
public final class SingleWeights implements Invariant {
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
        Optional<List<Marker>> markers = Marker.parse(outcome.answer());
        if (outcome.status() != 200 || markers.isEmpty() || markers.get().isEmpty()) {
            return;
        }
        finding.countCase();
        Set<String> weights = markers.get().stream().map(Marker::weights).collect(Collectors.toSet());
        String named = Marker.shortDigest(outcome.weightsDigest());
        if (weights.size() > 1) {
            finding.add(Violation.of(request, "tokens from several sets of weights: " + weights));
        } else if (!weights.contains(named)) {
            finding.add(Violation.of(
                    request,
                    "tokens from weights " + weights + ", but the header names "
                            + (named.isEmpty() ? "none" : outcome.weightsDigest())));
        }
    }
}
