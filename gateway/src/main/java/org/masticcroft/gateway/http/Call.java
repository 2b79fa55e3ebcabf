package org.masticcroft.gateway.http;

/** A request that was handed to the HTTP client. */
public interface Call {
    /** Returns whether any byte of the request may have reached the other side. */
    boolean sent();

    /** Gives the call up and closes its connection; the listener is not called any more. */
    void cancel();
}
