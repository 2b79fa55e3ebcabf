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
     * Removes and returns the ticket that goes next. The ticket counts as running until {@link #finish}.
     *
     * @param nowNanos monotonic time in nanoseconds
     */
    Optional<Ticket> poll(long nowNanos);

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
