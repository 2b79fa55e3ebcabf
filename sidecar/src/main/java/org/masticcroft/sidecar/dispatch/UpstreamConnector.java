package org.masticcroft.sidecar.dispatch;

import java.util.Optional;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.ports.service.UpstreamCall;
import org.masticcroft.ports.service.UpstreamResponse;
import org.masticcroft.wire.generated.Dispatch;

/** The upstream as the dispatch path sees it. Safe for use by many threads. */
public interface UpstreamConnector {
    /** Returns the number of requests that the upstream runs at the same time. */
    int slots();

    /** Returns the incarnation of the upstream; empty if unknown. */
    String incarnation();

    /** Returns the reason for which the upstream cannot take this dispatch now. Does not block. */
    Optional<ErrorCode> refusal(Dispatch dispatch);

    /** Reserves what the dispatch uses until {@link #release}; fails if it is not there any more. */
    boolean reserve(Dispatch dispatch);

    /** Ends a successful {@link #reserve}. */
    void release(Dispatch dispatch);

    /** Sends the request. */
    UpstreamCall open(Dispatch dispatch);

    /** Cancels a request at the upstream, as far as it can. Blocks. */
    void cancel(Dispatch dispatch);

    /** Reads the state of the upstream again and returns whether the process of this incarnation has ended. Blocks. */
    boolean hasEnded(String incarnation);

    /**
     * Returns the check for the body of a response.
     *
     * @param incarnation the incarnation before the request was sent
     * @throws MasticcroftException with {@code WEIGHTS_MISMATCH} if the headers name other weights or another process
     */
    Answer answer(Dispatch dispatch, UpstreamResponse response, String incarnation);
}
