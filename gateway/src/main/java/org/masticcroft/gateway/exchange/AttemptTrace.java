package org.masticcroft.gateway.exchange;

import java.util.Objects;
import java.util.OptionalLong;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * A completed attempt of a request at an upstream.
 *
 * @param number number of the attempt, from 1
 * @param upstream id of the upstream
 * @param startMillis start time of the upstream's process, in milliseconds since the epoch
 * @param weightsVersion version of the weights that the upstream served, if known
 * @param candidates number of upstreams that could have been chosen
 * @param predictedMillis predicted time to the first byte by which the upstream was chosen, in milliseconds
 * @param load estimated number of requests at the upstream when it was chosen
 * @param verdict whether the upstream may have run the request
 * @param reason reason of a failure; empty for a complete response
 */
public record AttemptTrace(
        int number,
        String upstream,
        long startMillis,
        OptionalLong weightsVersion,
        int candidates,
        long predictedMillis,
        int load,
        Verdict verdict,
        String reason) {
    /** Checks that no value is missing. */
    public AttemptTrace {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(weightsVersion, "weightsVersion");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(reason, "reason");
    }
}
