package org.masticcroft.harness.history;

import java.util.Objects;

/**
 * A request, as written before it is sent. Absent strings are empty, absent numbers are 0.
 *
 * @param id unique id of the request in the history
 * @param timeMs wall-clock time of sending in epoch ms
 * @param entry host and port of the entry
 * @param key API key of the caller
 * @param rank rank of the caller
 * @param kind kind of request
 * @param stream whether a streamed answer was requested
 * @param method HTTP method
 * @param path HTTP path with query
 * @param token unique text in the prompt, body or path, shared with re-sent copies
 * @param prompt prompt of a chat completion
 * @param promptSha256 SHA-256 of the prompt
 * @param bodySha256 SHA-256 of the body
 * @param idempotencyKey idempotency key of an order
 * @param resendOf id of the request of which this is a re-sent copy
 * @param maxTokens length of the whole answer in tokens
 * @param minConfig lowest configuration version that the caller accepts
 */
public record Invoke(
        String id,
        long timeMs,
        String entry,
        String key,
        String rank,
        Kind kind,
        boolean stream,
        String method,
        String path,
        String token,
        String prompt,
        String promptSha256,
        String bodySha256,
        String idempotencyKey,
        String resendOf,
        int maxTokens,
        long minConfig) {
    /** Replaces absent strings by empty ones. */
    public Invoke {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(kind, "kind");
        entry = orEmpty(entry);
        key = orEmpty(key);
        rank = orEmpty(rank);
        method = orEmpty(method);
        path = orEmpty(path);
        token = orEmpty(token);
        prompt = orEmpty(prompt);
        promptSha256 = orEmpty(promptSha256);
        bodySha256 = orEmpty(bodySha256);
        idempotencyKey = orEmpty(idempotencyKey);
        resendOf = orEmpty(resendOf);
    }

    private static String orEmpty(String text) {
        return text == null ? "" : text;
    }
}
