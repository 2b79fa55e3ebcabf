package org.masticcroft.sidecar.dispatch;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.ports.service.UpstreamCall;
import org.masticcroft.wire.PeerResponder;
import org.masticcroft.wire.generated.Dispatch;

/** A dispatch that waits or runs. Mutable fields are guarded by the monitor of this object. */
final class ActiveDispatch {
    private final Dispatch dispatch;
    private final PeerResponder responder;
    private final Instant arrival;
    private final long deadlineNanos;
    private final long sequence;
    private ErrorCode stopReason;
    private UpstreamCall call;
    private CompletableFuture<Void> stopped = CompletableFuture.completedFuture(null);
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

    /** Returns the position in the order of arrival. */
    long sequence() {
        return sequence;
    }

    int rankOrder() {
        return dispatch.getRankOrder();
    }

    synchronized Optional<ErrorCode> stopReason() {
        return Optional.ofNullable(stopReason);
    }

    /** Asks the dispatch to stop; only the first reason counts. */
    synchronized boolean requestStop(ErrorCode reason) {
        if (stopReason != null || ended) {
            return false;
        }
        stopReason = Objects.requireNonNull(reason, "reason");
        stopped = new CompletableFuture<>();
        return true;
    }

    /** Closes the call to the upstream, and lets {@link #awaitStopped} return. */
    void stop() {
        UpstreamCall open;
        CompletableFuture<Void> signal;
        synchronized (this) {
            open = call;
            signal = stopped;
        }
        if (open != null) {
            open.abort();
        }
        signal.complete(null);
    }

    /** Waits until a requested stop has reached the upstream, so that no cancellation follows the end. */
    void awaitStopped() {
        CompletableFuture<Void> signal;
        synchronized (this) {
            signal = stopped;
        }
        signal.join();
    }

    /** Sets the call to the upstream; returns whether a stop was requested before. */
    synchronized boolean opened(UpstreamCall open) {
        call = open;
        return stopReason != null;
    }

    /** Marks the end; returns false if it was marked before. */
    synchronized boolean markEnded() {
        boolean first = !ended;
        ended = true;
        return first;
    }
}
