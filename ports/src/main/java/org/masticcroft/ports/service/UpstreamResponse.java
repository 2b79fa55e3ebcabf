package org.masticcroft.ports.service;

import java.io.InputStream;
import java.util.Objects;
import java.util.Optional;

/**
 * Response of an upstream: status, headers and a stream of the body.
 *
 * @param status HTTP status
 * @param contentType content type; empty if there was none
 * @param weightsDigest weights digest that an engine reported
 * @param incarnation incarnation that an engine reported
 * @param body the body; a read fails if the connection closes before the end of the body that the HTTP framing implies
 */
public record UpstreamResponse(
        int status,
        String contentType,
        Optional<String> weightsDigest,
        Optional<String> incarnation,
        InputStream body) {
    public UpstreamResponse {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(weightsDigest, "weightsDigest");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(body, "body");
    }
}
