package org.masticcroft.kernel.retry;

import java.time.Duration;
import java.util.Objects;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * A failed attempt.
 *
 * @param attempt number of the failed attempt, from 1
 * @param verdict whether the attempt may have run
 * @param code the error code
 * @param idempotent whether the request is idempotent
 * @param answerStarted whether the caller has received a part of the answer
 * @param resumable whether the answer can be resumed at the place that the caller has reached
 * @param remaining time left until the request's deadline
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
