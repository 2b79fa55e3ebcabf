package org.masticcroft.ports.service;

import org.masticcroft.kernel.error.MasticcroftException;

/** A request that was sent to an upstream. {@link #abort} may be called by any thread. */
public interface UpstreamCall {
    /**
     * Waits for the status and the headers of the response.
     *
     * @throws MasticcroftException with verdict {@code NOT_RUN} if no connection was established or the
     *     upstream refused the request before execution, otherwise {@code MAY_HAVE_RUN}
     */
    UpstreamResponse await();

    /** Closes the connection of this call; a pending {@link #await} or read of the body fails. */
    void abort();
}
