package org.masticcroft.entry.admission;

import java.time.Duration;
import org.masticcroft.entry.upstream.UpstreamQuery;
import org.masticcroft.kernel.admission.Ticket;
import org.masticcroft.kernel.error.ErrorCode;

/**
 * A request that waits for a place on an upstream. The notifications are called with the lock of the gate held; they
 * only put an event into the serial executor of the request.
 */
public interface Waiter {
    /** Returns the ticket; its request id identifies the waiter. */
    Ticket ticket();

    /** Returns what the request demands of an upstream. */
    UpstreamQuery query();

    /** Returns the hash of the prompt prefix; 0 if there is none. */
    long prefixHash();

    /** Returns the fingerprint of customer and body. */
    String fingerprint();

    /** Returns whether the request was admitted before, so that it is not refused any more for a full queue. */
    boolean admittedBefore();

    /** Called when the request has a place, which must be released. */
    void onGranted(Grant grant);

    /** Called when the request is refused; it has no place in the queue any more. */
    void onRefused(ErrorCode code, Duration retryAfter);
}
