package org.masticcroft.sidecar.dispatch;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.ports.service.UpstreamCall;
import org.masticcroft.wire.PeerResponder;
import org.masticcroft.wire.generated.Dispatch;

/** State of a dispatch that waits for a slot or runs. Mutable fields are guarded by the monitor of this object. */
final class ActiveDispatch {
    private final Dispatch dispatch;
    private final PeerResponder responder;
    private final Instant arrival;
    private final long deadlineNanos;
    private final long sequence;
    private ErrorCode stopReason;
    private UpstreamCall call;
    private CompletableFuture<Void> stopCompleted = CompletableFuture.completedFuture(null);
    private boolean ended;

    ActiveDispatch(Dispatch dispatch, PeerResponder responder, Instant arrival, long deadlineNanos, long sequence) {
        this.dispatch = Objects.requireNonNull(dispatch, "dispatch");
        this.responder = Objects.requireNonNull(responder, "responder");
        this.arrival = Objects.requireNonNull(arrival, "arrival");
        this.deadlineNanos = deadlineNanos;
        this.sequence = sequence;
    }

    Dispatch dispatch() {
        return dispatch;
    }

    PeerResponder responder() {
        return responder;
    }

    Instant arrival() {
        return arrival;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    /** Returns the number that orders dispatches by arrival. */
    long sequence() {
        return sequence;
    }

    int rankOrder() {
        return dispatch.getRankOrder();
    }

    synchronized Optional<ErrorCode> stopReason() {
        return Optional.ofNullable(stopReason);
    }

    /** Requests a stop; returns false and changes nothing if one was requested before or the dispatch has ended. */
    synchronized boolean requestStop(ErrorCode reason) {
        if (stopReason != null || ended) {
            return false;
        }
        stopReason = Objects.requireNonNull(reason, "reason");
        stopCompleted = new CompletableFuture<>();
        return true;
    }

    /** Aborts the open call to the upstream, if there is one, and completes the requested stop. */
    void abort() {
        UpstreamCall openCall;
        CompletableFuture<Void> signal;
        synchronized (this) {
            openCall = call;
            signal = stopCompleted;
        }
        if (openCall != null) {
            openCall.abort();
        }
        signal.complete(null);
    }

    /**
     * Waits until {@link #abort} has completed a requested stop, so that the upstream gets no cancellation after the
     * dispatch has ended.
     */
    void awaitStopped() {
        CompletableFuture<Void> signal;
        synchronized (this) {
            signal = stopCompleted;
        }
        signal.join();
    }

    /** Sets the call to the upstream; returns whether a stop was requested before, so that the call must be aborted. */
    synchronized boolean setCall(UpstreamCall openedCall) {
        call = openedCall;
        return stopReason != null;
    }

    /** Marks the dispatch as ended; returns false if it was marked before. */
    synchronized boolean markEnded() {
        boolean first = !ended;
        ended = true;
        return first;
    }
}
