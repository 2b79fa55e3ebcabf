package org.masticcroft.kernel.retry;

import java.time.Duration;
import java.util.Objects;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * A failed attempt.
 *
 * @param attempt number of the failed attempt, starting at 1
 * @param verdict whether the request may have run in this attempt
 * @param code error code of the failure
 * @param idempotent whether the request is idempotent
 * @param answerStarted whether the caller has already received a part of the answer
 * @param resumable whether another attempt can continue the answer after the part that the caller has received
 * @param remaining time until the deadline of the request
 */
public record AttemptFailure(
        int attempt,
        Verdict verdict,
        ErrorCode code,
        boolean idempotent,
        boolean answerStarted,
        boolean resumable,
        Duration remaining) {
    public AttemptFailure {
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(remaining, "remaining");
    }
}
