package org.masticcroft.entry.request;

import java.util.Optional;
import org.masticcroft.entry.upstream.Weights;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.wire.generated.DispatchEnd;

/** Checks of an answer that the sidecar reports as successful. */
final class AnswerCheck {
    private AnswerCheck() {}

    /** Returns what is wrong with the answer; empty if the caller may have it. */
    static Optional<ErrorCode> flaw(Attempt attempt, DispatchEnd end, boolean streamStarted) {
        if (attempt.collector().checkComplete(end).isPresent()) {
            return Optional.of(ErrorCode.ANSWER_INCOMPLETE);
        }
        Optional<Weights> weights = attempt.grant().weights();
        int status = attempt.collector().head().orElseThrow().getStatus();
        boolean executed = status < 400;
        if (executed && weights.isPresent() && !weights.get().digest().equals(end.getWeightsDigest())) {
            return Optional.of(ErrorCode.WEIGHTS_MISMATCH);
        }
        boolean truncated = attempt.isStreaming() ? !attempt.events().isComplete() : streamStarted;
        return truncated ? Optional.of(ErrorCode.ANSWER_INCOMPLETE) : Optional.empty();
    }
}
