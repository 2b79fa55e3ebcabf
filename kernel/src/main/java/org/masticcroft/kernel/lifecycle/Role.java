package org.masticcroft.kernel.lifecycle;

import java.time.Duration;

/** The role of a process, for example entry or sidecar. The service binary starts one role and stops it gracefully. */
public interface Role extends AutoCloseable {
    /** Starts background tasks and listeners. */
    void start();

    /** Returns whether the process is ready to receive work. */
    boolean ready();

    /** Stops accepting new work and returns immediately. Further calls have no effect. */
    void beginDrain();

    /**
     * Waits until the work in progress has finished.
     *
     * @param deadline maximum time to wait
     * @return whether all work finished in time
     */
    boolean awaitDrained(Duration deadline);

    /** Ends the remaining work, reports its correct verdict and releases all resources. */
    @Override
    void close();
}
