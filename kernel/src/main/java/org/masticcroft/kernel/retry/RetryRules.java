package org.masticcroft.kernel.retry;

import org.masticcroft.kernel.error.ErrorCode;

/** Conditions under which another attempt is safe and useful, independent of any budget. */
final class RetryRules {
    private RetryRules() {}

    /**
     * Returns whether another attempt is safe: it neither runs a non-idempotent request twice nor repeats a part of the
     * answer that the caller has received.
     */
    static boolean isSafe(AttemptFailure failure) {
        return failure.verdict().permitsRetry(failure.idempotent())
                && (!failure.answerStarted() || failure.resumable());
    }

    /** Returns whether the upstream or the path to it caused the failure, so that another upstream may succeed. */
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
