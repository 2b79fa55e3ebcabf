package org.masticcroft.entry.request;

import java.util.Objects;
import java.util.Optional;

/**
 * A request as the caller sent it.
 *
 * @param kind what the caller wants
 * @param target name of the plain service; empty for other kinds, whose body names the deployment
 * @param method HTTP method
 * @param path path with its query towards the upstream
 * @param contentType content type; may be empty
 * @param authorization value of the {@code Authorization} header
 * @param idempotencyKey value of the {@code Idempotency-Key} header
 * @param minConfig value of the {@code X-Masticcroft-Min-Config} header
 * @param body the body; not modified
 */
public record CallerRequest(
        Kind kind,
        String target,
        String method,
        String path,
        String contentType,
        Optional<String> authorization,
        Optional<String> idempotencyKey,
        Optional<String> minConfig,
        byte[] body) {
    /** Rejects absent values. */
    public CallerRequest {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /** Kind of request. */
    public enum Kind {
        CHAT,
        SERVICE,
        MODELS
    }
}
