package org.masticcroft.kernel.lifecycle;

import java.time.Duration;

/** What a process does. The service binary starts one role and stops it gracefully. */
public interface Role extends AutoCloseable {
    /** Starts background work and listeners. */
    void start();

    /** Returns whether the process should receive work. */
    boolean ready();

    /** Stops taking new work and returns at once. A second call has no effect. */
    void beginDrain();

    /**
     * Waits until the work in progress has ended.
     *
     * @param deadline longest time to wait
     * @return whether all work ended in time
     */
    boolean awaitDrained(Duration deadline);

    /** Ends what is left with its true verdict and releases all resources. */
    @Override
    void close();
}
