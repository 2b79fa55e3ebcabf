package org.masticcroft.gateway.dispatch;

import java.util.Objects;

/**
 * What the chooser would decide on an upstream for a request.
 *
 * @param upstream the upstream
 * @param decision {@code eligible}, or the reason for which the request would not be sent there now
 * @param predictedMillis predicted time to the first byte there, in milliseconds
 * @param load estimated number of requests there
 */
public record UpstreamAssessment(Upstream upstream, String decision, double predictedMillis, int load) {
    /** Decision on an upstream that could get the request. */
    public static final String ELIGIBLE = "eligible";

    public UpstreamAssessment {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(decision, "decision");
    }
}
