package org.masticcroft.entry.request;

import java.util.Objects;
import java.util.Optional;

/**
 * A request as received from a caller.
 *
 * @param kind kind of request
 * @param target name of the plain service; empty for other kinds, whose deployment is named in the body
 * @param method HTTP method
 * @param path path and query to request from the upstream
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
    /** Rejects null in all components but the optional headers. */
    public CallerRequest {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /** Kinds of requests: chat completion, call of a plain service, list of the deployments. */
    public enum Kind {
        CHAT,
        SERVICE,
        MODELS
    }
}
