package org.masticcroft.entry.request;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * Failure that is reported to a caller.
 *
 * @param code error code
 * @param verdict whether the request may have run
 * @param message message for the caller
 * @param retryAfter time to wait before a retry, if known
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

    /** Creates a failure without a time to wait before a retry. */
    public static Failure of(ErrorCode code, Verdict verdict, String message) {
        return new Failure(code, verdict, message, Optional.empty());
    }

    /** Creates a failure from an exception. */
    public static Failure of(MasticcroftException exception) {
        return of(exception.code(), exception.verdict(), String.valueOf(exception.getMessage()));
    }

    /** Returns this failure with a time to wait before a retry. */
    public Failure retryAfter(Duration delay) {
        return new Failure(code, verdict, message, Optional.of(delay));
    }
}
