package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;

/** A request that waits for an upstream. */
public interface Waiting {
    /** Returns the id of the request, for logs. */
    String id();

    /** Returns the rank; 0 is served first. */
    int rank();

    /** Returns the name of the customer; empty if the request has none. */
    String customer();

    /** Returns the monotonic time of arrival in nanoseconds. */
    long arrivalNanos();

    /** Returns the time from arrival within which the first byte is on time. */
    Duration target();

    /** Returns the monotonic time in nanoseconds at which the caller or the route gives up. */
    long deadlineNanos();

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
