package org.masticcroft.kernel.admission;

import java.util.Optional;

/**
 * Decides which requests may wait and in which order they are dispatched. Implementations are not thread-safe; callers
 * guard each queue with a lock.
 */
public interface AdmissionQueue {
    /**
     * Adds a ticket to the queue or refuses it.
     *
     * @param ticket the ticket to add
     * @param nowNanos monotonic time in nanoseconds
     */
    Admission offer(Ticket ticket, long nowNanos);

    /**
     * Returns a preempted ticket to the queue, even if the queue is full, because its request has already been
     * accepted. The caller must have called {@link #finish} for the tokens used so far. The ticket carries the
     * remaining cost and the original arrival time.
     */
    default Admission requeue(Ticket ticket, long nowNanos) {
        return offer(ticket, nowNanos);
    }

    /**
     * Removes and returns the ticket to dispatch next. The ticket counts as running until {@link #finish}.
     *
     * @param nowNanos monotonic time in nanoseconds
     */
    Optional<Ticket> poll(long nowNanos);

    /**
     * Removes and returns the waiting ticket of one request out of turn, for example because preemption freed a slot
     * for it. The ticket counts as running until {@link #finish}. Queues that do not support this return empty.
     */
    default Optional<Ticket> pollRequest(String requestId, long nowNanos) {
        return Optional.empty();
    }

    /** Removes a waiting ticket, for example because its caller disconnected. Returns whether it was waiting. */
    boolean remove(String requestId);

    /**
     * Ends a running ticket and replaces the estimated cost charged to its customer with the actual cost.
     *
     * @param ticket the ticket as returned by {@link #poll} or {@link #pollRequest}
     * @param actualTokens actual cost in tokens
     * @param nowNanos monotonic time in nanoseconds
     */
    void finish(Ticket ticket, int actualTokens, long nowNanos);

    /** Returns the number of waiting tickets. */
    int waiting();
}
