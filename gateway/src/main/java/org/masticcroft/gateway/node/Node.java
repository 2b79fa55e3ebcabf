package org.masticcroft.gateway.node;

/** Life cycle of a role that a process runs in. */
public interface Node {
    /** Starts the servers and the background work; returns once the servers listen. */
    void start();

    /**
     * Stops gracefully. A second call has no effect. May be called on any thread.
     *
     * @param requestedNanos monotonic time of the request to stop, from which the grace period counts
     * @param finished called when no request is open any more, in time for the process to exit in the grace period
     */
    void stop(long requestedNanos, Runnable finished);
}
