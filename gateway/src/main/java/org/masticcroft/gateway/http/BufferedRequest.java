package org.masticcroft.gateway.http;

/**
 * A request that was read in full.
 *
 * @param arrived its head, and its memory until it is released
 * @param body complete body
 * @param earliestArrivalNanos monotonic time before which the request has not arrived
 */
record BufferedRequest(ArrivingRequest arrived, byte[] body, long earliestArrivalNanos) {
    /** Releases the memory of the request. */
    void release() {
        arrived.release();
    }
}
