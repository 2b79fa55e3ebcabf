package org.masticcroft.kernel.error;

import java.util.Objects;
import org.masticcroft.kernel.verdict.Verdict;

/** Unchecked exception with a stable error code and the verdict on whether the request may have run. */
public final class MasticcroftException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final Verdict verdict;

    private MasticcroftException(ErrorCode code, Verdict verdict, String message, Throwable cause) {
        super(message, cause);
        this.code = Objects.requireNonNull(code, "code");
        this.verdict = Objects.requireNonNull(verdict, "verdict");
    }

    /** Creates an exception for a request that was not executed. */
    public static MasticcroftException notRun(ErrorCode code, String message) {
        return new MasticcroftException(code, Verdict.NOT_RUN, message, null);
    }

    /** Creates an exception with an explicit verdict. */
    public static MasticcroftException of(ErrorCode code, Verdict verdict, String message) {
        return new MasticcroftException(code, verdict, message, null);
    }

    /** Creates an exception with an explicit verdict and a cause. */
    public static MasticcroftException of(ErrorCode code, Verdict verdict, String message, Throwable cause) {
        return new MasticcroftException(code, verdict, message, cause);
    }

    public ErrorCode code() {
        return code;
    }

    public Verdict verdict() {
        return verdict;
    }
}
