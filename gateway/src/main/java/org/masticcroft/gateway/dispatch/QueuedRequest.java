package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import org.masticcroft.gateway.config.AllowedRegions;

/** A request that waits for an upstream with capacity. */
public interface QueuedRequest {
    /** Returns the id of the request, for logs. */
    String id();

    /** Returns the rank by which the request is ordered. */
    Rank rank();

    /** Returns the name of the customer; empty if the request has none. */
    String customer();

    /**
     * Returns the monotonic time in nanoseconds since which the caller has been waiting. It is earlier than the arrival
     * if the caller retries after a refusal.
     */
    long waitingSinceNanos();

    /** Returns the time, counted from {@link #waitingSinceNanos()}, up to which the first byte is on time. */
    Duration target();

    /**
     * Returns the monotonic time in nanoseconds up to which the first byte of a response is of use. After it the caller
     * has disconnected, or the response cannot be completed before its deadline.
     */
    long firstByteDeadlineNanos();

    /** Returns whether the request was sent to an upstream before, so that refusing it would waste work done. */
    boolean alreadySent();

    /** Returns the number of prompt tokens; 0 if the request is not for a model. */
    int promptTokens();

    /** Returns the largest number of tokens that an engine holds for the request, those of the response included. */
    default int memoryTokens() {
        return promptTokens();
    }

    /** Returns the ids of the upstreams that the request was sent to before. */
    Set<String> triedUpstreams();

    /** Returns the regions whose upstreams may serve the request. */
    default AllowedRegions allowedRegions() {
        return AllowedRegions.all();
    }

    /**
     * Returns whether the request is open at another upstream and an upstream is sought for a hedge, which is not worth
     * what the upstream would risk.
     */
    default boolean hedge() {
        return false;
    }

    /** Sends the request to an upstream. */
    void dispatch(Choice choice);

    /** Ends the request without sending it to another upstream. */
    void refuse(Refusal refusal);

    /** The reason of a refusal, and the time after which the caller should retry. */
    record Refusal(String reason, Duration retryAfter) {
        public Refusal {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }

    /** The chosen upstream, with the inputs of the decision for the log. */
    record Choice(Upstream upstream, int candidates, double predictedMillis, int load) {}
}
