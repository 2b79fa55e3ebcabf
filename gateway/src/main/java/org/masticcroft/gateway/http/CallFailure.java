package org.masticcroft.gateway.http;

import org.masticcroft.kernel.verdict.Verdict;

/** Reasons for which a call ended without a complete answer. */
public enum CallFailure {
    /** No connection was established, so nothing was sent. */
    NOT_CONNECTED(Verdict.NOT_RUN),
    /** The connection was reset. */
    RESET(Verdict.MAY_HAVE_RUN),
    /** The connection ended in the middle of the answer or before it. */
    CLOSED_EARLY(Verdict.MAY_HAVE_RUN),
    /** The bytes received are no HTTP. */
    MALFORMED(Verdict.MAY_HAVE_RUN),
    /** No answer arrived in time. */
    TIMED_OUT(Verdict.MAY_HAVE_RUN);

    private final Verdict verdict;

    CallFailure(Verdict verdict) {
        this.verdict = verdict;
    }

    /** Returns whether the request may have run after this failure. */
    public Verdict verdict() {
        return verdict;
    }
}
