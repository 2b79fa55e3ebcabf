package org.masticcroft.harness.ledger;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One execution of a request by an engine or a service.
 *
 * @param execution unique id
 * @param source id of the upstream
 * @param requestId request id that the upstream received
 * @param idempotencyKey idempotency key that the upstream received, or empty
 * @param method HTTP method of a service call, empty for a completion
 * @param path HTTP path of a service call
 * @param bodySha256 SHA-256 of the body of a service call
 * @param promptSha256 SHA-256 of the prompt of a completion
 * @param weightsDigest weights digest of a completion
 * @param startMs start in epoch ms
 * @param endMs end in epoch ms, 0 if the end is not known
 * @param outcome {@code completed}, {@code cancelled}, {@code crashed}, or empty if the end is not known
 */
public record Execution(
        String execution,
        String source,
        String requestId,
        String idempotencyKey,
        String method,
        String path,
        String bodySha256,
        String promptSha256,
        String weightsDigest,
        long startMs,
        long endMs,
        String outcome) {
    /** Parses a ledger entry; an entry without an execution id gets one derived from its identifying fields. */
    public static Execution parse(JsonNode entry) {
        String derivedId = String.join(
                "|",
                text(entry, "source"),
                text(entry, "request_id"),
                text(entry, "start_ms"),
                text(entry, "prompt_sha256"),
                text(entry, "body_sha256"),
                text(entry, "path"));
        return new Execution(
                entry.path("execution").asText(derivedId),
                text(entry, "source"),
                text(entry, "request_id"),
                text(entry, "idempotency_key"),
                text(entry, "method"),
                text(entry, "path"),
                text(entry, "body_sha256"),
                text(entry, "prompt_sha256"),
                text(entry, "weights_digest"),
                entry.path("start_ms").asLong(),
                entry.path("end_ms").asLong(),
                text(entry, "outcome"));
    }

    /** Returns whether this is the execution of a chat completion. */
    public boolean isCompletion() {
        return !promptSha256.isEmpty();
    }

    private static String text(JsonNode entry, String field) {
        return entry.path(field).asText("");
    }
}
