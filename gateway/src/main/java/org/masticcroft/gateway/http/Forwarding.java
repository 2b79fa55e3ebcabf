package org.masticcroft.gateway.http;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the gateway adds to a request that it passes on.
 *
 * @param upstreamId upstream that the request is for; any other refuses it
 * @param remaining time that the caller still waits, if it states that
 * @param customer name of the customer, if the caller identified itself
 * @param urgency rank for the queue of the upstream, if the request has one
 * @param weightsVersion version of the weights that the upstream must serve, if known
 * @param resumeAfter number of the last event that the caller has, if a stream is resumed
 */
public record Forwarding(
        String upstreamId,
        Optional<Duration> remaining,
        Optional<String> customer,
        OptionalInt urgency,
        OptionalLong weightsVersion,
        OptionalLong resumeAfter) {
    public Forwarding {
        Objects.requireNonNull(upstreamId, "upstreamId");
    }
}
