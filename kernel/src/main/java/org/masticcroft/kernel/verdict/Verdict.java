package org.masticcroft.kernel.verdict;

/** States whether a request may have been executed by an upstream. */
public enum Verdict {
    /** The request was not executed, and no pending attempt can still execute it. */
    NOT_RUN,
    /** The request was executed. */
    RAN,
    /** The request may have been executed, or may still be executing. */
    MAY_HAVE_RUN;

    /**
     * Returns whether another attempt is safe after this verdict.
     *
     * @param idempotent whether executing the request twice has the same effect as executing it once
     */
    public boolean permitsRetry(boolean idempotent) {
        return this == NOT_RUN || idempotent;
    }
}
