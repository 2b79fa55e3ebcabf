package org.masticcroft.gateway.http;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Status line and headers of an upstream's response, decoded.
 *
 * @param status HTTP status
 * @param notRun whether the upstream states that it did not run the request
 * @param wrongUpstream whether the address now belongs to another process or to an engine with other weights
 * @param attemptId id of the attempt that the response belongs to, if stated
 * @param signed whether the response carries the upstream's signature
 * @param weightsVersion version of the weights that served the request, if stated
 * @param pause time for which the upstream wants no requests from this process, if stated
 * @param leaving whether the upstream states that it is about to exit
 * @param cold time for which the upstream states that it is cold; zero if it states none
 */
public record ResponseHead(
        int status,
        boolean notRun,
        boolean wrongUpstream,
        Optional<String> attemptId,
        boolean signed,
        OptionalLong weightsVersion,
        Optional<Duration> pause,
        boolean leaving,
        Duration cold) {
    /** Rejects missing values. */
    public ResponseHead {
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(weightsVersion, "weightsVersion");
        Objects.requireNonNull(pause, "pause");
        Objects.requireNonNull(cold, "cold");
    }

    /** Returns whether the response has a 2xx status and is signed by the upstream. */
    public boolean success() {
        return status / 100 == 2 && signed;
    }
}
