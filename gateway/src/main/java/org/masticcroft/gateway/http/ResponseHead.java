package org.masticcroft.gateway.http;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the head of an upstream's answer states.
 *
 * @param status HTTP status
 * @param notRun whether the upstream states that it did not run the request
 * @param wrongUpstream whether another process or other weights have the address now
 * @param attemptId id of the attempt that the answer belongs to, if stated
 * @param signed whether the answer carries the upstream's signature
 * @param weightsVersion version of the weights that served the request, if stated
 */
public record ResponseHead(
        int status,
        boolean notRun,
        boolean wrongUpstream,
        Optional<String> attemptId,
        boolean signed,
        OptionalLong weightsVersion) {
    public ResponseHead {
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(weightsVersion, "weightsVersion");
    }

    /** Returns whether the answer is a success that the upstream vouches for. */
    public boolean success() {
        return status / 100 == 2 && signed;
    }
}
