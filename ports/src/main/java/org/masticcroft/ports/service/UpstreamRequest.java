package org.masticcroft.ports.service;

import java.util.Objects;

/**
 * A call to an upstream.
 *
 * @param requestId id that is sent as {@code X-Request-Id}
 * @param method HTTP method in upper case
 * @param path path with a leading slash, followed by the query if there is one
 * @param contentType content type of the body; empty if there is none
 * @param body the body; must not be modified
 * @param idempotent whether executing the call twice has the same effect as executing it once
 */
public record UpstreamRequest(
        String requestId, String method, String path, String contentType, byte[] body, boolean idempotent) {
    /** Rejects nulls and relative paths. */
    public UpstreamRequest {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
        if (!path.startsWith("/")) {
            throw new IllegalArgumentException("path without a leading slash: " + path);
        }
    }
}
