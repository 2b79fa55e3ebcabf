package org.masticcroft.entry.admission;

import java.time.Duration;
import org.masticcroft.entry.upstream.UpstreamQuery;
import org.masticcroft.kernel.admission.Ticket;
import org.masticcroft.kernel.error.ErrorCode;

/**
 * A request that waits for a slot on an upstream. The gate calls {@code onGranted} and {@code onRefused} while it holds
 * its lock; implementations must only submit a task to the serial executor of the request.
 */
public interface Waiter {
    /** Returns the ticket; its request id identifies the waiter. */
    Ticket ticket();

    /** Returns the requirements of the request on an upstream. */
    UpstreamQuery query();

    /** Returns the hash of the prompt prefix; 0 if there is none. */
    long prefixHash();

    /** Returns the fingerprint of the request, a hash of customer and body. */
    String fingerprint();

    /** Returns whether the request was admitted before; if so, it is not refused because of a full queue. */
    boolean admittedBefore();

    /** Called when the request is granted a slot, which must be released. */
    void onGranted(Grant grant);

    /** Called when the request is refused and has been removed from the queue. */
    void onRefused(ErrorCode code, Duration retryAfter);
}
