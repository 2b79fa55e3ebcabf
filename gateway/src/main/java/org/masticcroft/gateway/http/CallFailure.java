package org.masticcroft.gateway.http;

import org.masticcroft.kernel.verdict.Verdict;

/** Reasons why a call ended without a complete response. */
public enum CallFailure {
    /** No connection was established, so nothing was sent. */
    NOT_CONNECTED(Verdict.NOT_RUN),
    /** The connection was reset. */
    RESET(Verdict.MAY_HAVE_RUN),
    /** The server closed the connection before or during the response. */
    CLOSED_EARLY(Verdict.MAY_HAVE_RUN),
    /** The bytes received are not valid HTTP, or the status is not one of a final response. */
    MALFORMED(Verdict.MAY_HAVE_RUN),
    /** A response on a reused connection does not state to which of the requests on the connection it belongs. */
    UNIDENTIFIED(Verdict.MAY_HAVE_RUN),
    /** The response did not arrive in time. */
    TIMED_OUT(Verdict.MAY_HAVE_RUN);

    private final Verdict verdict;

    CallFailure(Verdict verdict) {
        this.verdict = verdict;
    }

    /** Returns whether the connection ended, as it does when the server crashes. */
    public boolean connectionLost() {
        return this == RESET || this == CLOSED_EARLY;
    }

    /** Returns whether the request may have run after this failure. */
    public Verdict verdict() {
        return verdict;
    }
}
