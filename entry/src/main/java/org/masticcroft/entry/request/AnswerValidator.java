package org.masticcroft.entry.request;

import java.util.Optional;
import org.masticcroft.entry.upstream.Weights;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.wire.generated.DispatchEnd;

/** Validates an answer that the sidecar reported as successful. */
final class AnswerValidator {
    private AnswerValidator() {}

    /** Returns the error code of an invalid answer; empty if the answer is valid. */
    static Optional<ErrorCode> validate(Attempt attempt, DispatchEnd end, boolean streamStarted) {
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
