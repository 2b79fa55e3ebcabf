package org.masticcroft.gateway.dispatch;

/** Decides whether a request may be sent to an upstream for a reason other than the load of the upstream. */
@FunctionalInterface
public interface PlacementRule {
    /**
     * Decides whether a request may be sent to an upstream now.
     *
     * @param request request to dispatch
     * @param upstream candidate
     * @param nowNanos monotonic time in nanoseconds
     */
    PlacementDecision check(QueuedRequest request, Upstream upstream, long nowNanos);

    /** Is called when a request is dispatched to an upstream that the rule has allowed. */
    default void onSend(QueuedRequest request, Upstream upstream, long nowNanos) {}
}
