package org.masticcroft.gateway.http;

/** A request in progress on a {@link PooledHttpClient}. */
public interface Call {
    /** Returns whether any byte of the request may have reached the server. */
    boolean sent();

    /** Stops reading the response, so that the server cannot send more than the connection buffers. */
    void pauseReading();

    /** Goes on reading the response. */
    void resumeReading();

    /** Cancels the call and closes its connection; the listener is not called afterwards. */
    void cancel();
}
