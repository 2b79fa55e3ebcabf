package org.masticcroft.kernel.retry;

import org.masticcroft.kernel.error.ErrorCode;

/** Conditions under which another attempt is safe and useful, independent of any budget. */
final class RetryRules {
    private RetryRules() {}

    /** Returns whether another attempt cannot run the request twice or repeat a part of the answer. */
    static boolean isSafe(AttemptFailure failure) {
        return failure.verdict().permitsRetry(failure.idempotent())
                && (!failure.answerStarted() || failure.resumable());
    }

    /** Returns whether the failure lies with the upstream or the way to it, so that another one may succeed. */
    static boolean isUpstreamFault(ErrorCode code) {
        return switch (code) {
            case UPSTREAM_FAILED,
                    UPSTREAM_CRASHED,
                    ANSWER_INCOMPLETE,
                    WEIGHTS_MISMATCH,
                    PEER_UNREACHABLE,
                    BUSY,
                    DRAINING,
                    WEIGHTS_NOT_LOADED,
                    PREEMPTED -> true;
            default -> false;
        };
    }
}
