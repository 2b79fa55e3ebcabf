package org.masticcroft.sidecar.dispatch;

import java.util.Optional;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.ports.service.UpstreamCall;
import org.masticcroft.ports.service.UpstreamResponse;
import org.masticcroft.wire.generated.Dispatch;

/** Connection from the dispatch path to the upstream, which is an engine or a plain service. Thread-safe. */
public interface UpstreamConnector {
    /** Returns the number of requests that the upstream can run concurrently. */
    int slots();

    /** Returns the incarnation of the upstream process; the empty string if it is unknown. */
    String incarnation();

    /** Returns the reason for which the upstream cannot run this dispatch now; empty if it can. Does not block. */
    Optional<ErrorCode> refusalReason(Dispatch dispatch);

    /**
     * Reserves the weights that the dispatch uses until {@link #release}; returns false if they are being unloaded or
     * not loaded any more.
     */
    boolean reserve(Dispatch dispatch);

    /** Releases a successful reservation of {@link #reserve}. */
    void release(Dispatch dispatch);

    /** Sends the request to the upstream. */
    UpstreamCall open(Dispatch dispatch);

    /** Cancels a request at the upstream if that supports cancellation. Blocks. */
    void cancel(Dispatch dispatch);

    /** Refreshes the state of the upstream and returns whether the process of this incarnation has ended. Blocks. */
    boolean hasProcessEnded(String incarnation);

    /**
     * Returns the filter for the body of a response.
     *
     * @param incarnation incarnation of the upstream before the request was sent
     * @throws MasticcroftException with {@code WEIGHTS_MISMATCH} if the headers report other weights or another
     *     incarnation
     */
    ResponseFilter responseFilter(Dispatch dispatch, UpstreamResponse response, String incarnation);
}
