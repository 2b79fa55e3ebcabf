package org.masticcroft.ports.service;

import org.masticcroft.kernel.error.MasticcroftException;

/** Client of one plain service. Safe for use by many threads. */
public interface ServiceClient {
    /**
     * Sends a call. Failures to send are reported by {@link UpstreamCall#await}.
     *
     * @throws MasticcroftException with verdict {@code NOT_RUN} if the call is invalid and was not sent
     */
    UpstreamCall open(UpstreamRequest request);

    /** Returns whether the service accepts connections now. */
    boolean acceptsConnections();
}
