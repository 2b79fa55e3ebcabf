package org.masticcroft.gateway.node;

/** A role of a process. */
public interface Node {
    /** Starts listeners and background work; returns when the process listens. */
    void start();

    /** Stops gracefully and calls back when no request is open any more. A second call has no effect. */
    void stop(Runnable finished);
}
