package org.masticcroft.kernel.admission;

import java.util.Objects;

/**
 * A request in admission control, with the attributes that decide when it runs.
 *
 * @param requestId id of the request
 * @param customer name of the customer
 * @param weight weight of the customer in fair queueing; values that are not positive count as 1
 * @param rank name of the rank
 * @param estimatedTokens expected cost in tokens
 * @param arrivalNanos monotonic arrival time in nanoseconds
 */
public record Ticket(
        String requestId, String customer, double weight, String rank, int estimatedTokens, long arrivalNanos) {
    public Ticket {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(rank, "rank");
    }
}
