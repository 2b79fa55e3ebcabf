package org.masticcroft.gateway.exchange;

import java.util.Objects;
import java.util.OptionalLong;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * One send of a request to an upstream, as it ended.
 *
 * @param number number of the send, from 1
 * @param upstream id of the upstream
 * @param startMillis start of the upstream's process, in milliseconds since the epoch
 * @param weightsVersion version of the weights that the upstream served, as far as known
 * @param candidates upstreams that could have been chosen
 * @param predictedMillis predicted time to the first byte, by which the upstream was chosen
 * @param load requests that the upstream was believed to have
 * @param verdict whether the upstream may have run the request
 * @param reason reason of a failure; empty for a complete answer
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
    /** Rejects missing values. */
    public AttemptTrace {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(weightsVersion, "weightsVersion");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(reason, "reason");
    }
}
