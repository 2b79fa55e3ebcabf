package org.masticcroft.entry.request;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * Failure that a caller is told.
 *
 * @param code error code
 * @param verdict whether the request may have run
 * @param message explanation
 * @param retryAfter time after which another try makes sense, if known
 */
public record Failure(ErrorCode code, Verdict verdict, String message, Optional<Duration> retryAfter) {
    public Failure {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /** Creates a failure of a request that was not executed. */
    public static Failure notRun(ErrorCode code, String message) {
        return of(code, Verdict.NOT_RUN, message);
    }

    /** Creates a failure. */
    public static Failure of(ErrorCode code, Verdict verdict, String message) {
        return new Failure(code, verdict, message, Optional.empty());
    }

    /** Creates a failure from an exception. */
    public static Failure of(MasticcroftException exception) {
        return of(exception.code(), exception.verdict(), String.valueOf(exception.getMessage()));
    }

    /** Returns this failure with a time after which another try makes sense. */
    public Failure retryAfter(Duration after) {
        return new Failure(code, verdict, message, Optional.of(after));
    }
}
