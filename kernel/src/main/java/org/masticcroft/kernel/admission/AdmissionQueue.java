package org.masticcroft.kernel.admission;

import java.util.Optional;

/**
 * Decides which requests wait and which of them goes next. Implementations are confined to one lock of their user and
 * are not safe for use by many threads at once.
 */
public interface AdmissionQueue {
    /**
     * Offers a ticket.
     *
     * @param ticket the ticket
     * @param nowNanos monotonic time in nanoseconds
     */
    Admission offer(Ticket ticket, long nowNanos);

    /**
     * Puts a preempted ticket back without regard to the queue bound, because its request has already been accepted.
     * The caller must have called {@link #finish} for the tokens used so far; the ticket carries the remaining cost and
     * the original arrival time.
     */
    default Admission requeue(Ticket ticket, long nowNanos) {
        return offer(ticket, nowNanos);
    }

    /**
     * Removes and returns the ticket that goes next. The ticket counts as running until {@link #finish}.
     *
     * @param nowNanos monotonic time in nanoseconds
     */
    Optional<Ticket> poll(long nowNanos);

    /**
     * Removes and returns one waiting ticket out of turn, because a slot was freed for it by preemption. It counts as
     * running like a polled one. Queues that know no preemption return empty.
     */
    default Optional<Ticket> pollRequest(String requestId, long nowNanos) {
        return Optional.empty();
    }

    /** Removes a waiting ticket, for example because its caller went away. Returns whether it was waiting. */
    boolean remove(String requestId);

    /**
     * Ends a running ticket and corrects the cost charged to its customer.
     *
     * @param ticket the ticket as returned by {@link #poll}
     * @param actualTokens true cost in tokens
     * @param nowNanos monotonic time in nanoseconds
     */
    void finish(Ticket ticket, int actualTokens, long nowNanos);

    /** Returns the number of waiting tickets. */
    int waiting();
}
