package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;

/** A request that waits for an upstream. */
public interface Waiting {
    /** Returns the id of the request, for logs. */
    String id();

    /** Returns the rank. */
    Rank rank();

    /** Returns the name of the customer; empty if the request has none. */
    String customer();

    /**
     * Returns the monotonic time in nanoseconds since which the caller has been waiting. It lies before the arrival if
     * the caller was refused before and came back.
     */
    long waitingSinceNanos();

    /** Returns the time since the caller waits within which the first byte is on time. */
    Duration target();

    /** Returns the monotonic time in nanoseconds at which the caller leaves if it got no byte of an answer. */
    long giveUpNanos();

    /** Returns whether the request was sent to an upstream before, so that refusing it wastes what was done. */
    boolean begun();

    /** Returns the tokens of the prompt; 0 for a plain request. */
    int promptTokens();

    /** Returns the ids of the upstreams that were tried before. */
    Set<String> tried();

    /** Sends the request to an upstream. */
    void dispatch(Choice choice);

    /** Ends the request, which has not run. */
    void refuse(Refusal refusal);

    /** Why a request was refused, and when it is worth coming back. */
    record Refusal(String reason, Duration retryAfter) {
        public Refusal {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }

    /** The upstream chosen, with the inputs of the decision for the log. */
    record Choice(Upstream upstream, int candidates, double predictedMillis, int load) {}
}
