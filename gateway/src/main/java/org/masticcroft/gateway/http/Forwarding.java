package org.masticcroft.gateway.http;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Values that the gateway sets in the headers of a request when it forwards it to an upstream.
 *
 * @param upstreamId id of the upstream that the request is for; any other upstream rejects it
 * @param remaining time left until the caller's deadline, if it set one
 * @param customer name of the customer, if the caller sent a key
 * @param urgency rank of the request in the upstream's queue, if it has one; 0 is served first
 * @param weightsVersion version of the weights that the upstream must serve, if known
 * @param resumeAfter id of the last event that the caller received, if a stream is resumed
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
