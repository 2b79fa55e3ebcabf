package org.masticcroft.harness.load;

import java.util.Optional;
import org.masticcroft.harness.history.Kind;

/**
 * A request that the generator has drawn.
 *
 * @param atNanos when to send it, from the start of the run
 * @param entry host and port of the entry
 * @param caller the caller
 * @param kind kind of request
 * @param stream whether to ask for a streamed answer
 * @param method HTTP method
 * @param path HTTP path with query
 * @param token unique text in the prompt, body or path
 * @param prompt prompt of a completion
 * @param body request body
 * @param maxTokens length of the answer in tokens
 * @param copy second copy to send whatever becomes of the first
 */
public record PlannedRequest(
        long atNanos,
        String entry,
        CallerKey caller,
        Kind kind,
        boolean stream,
        String method,
        String path,
        String token,
        String prompt,
        String body,
        int maxTokens,
        Optional<Copy> copy) {
    /**
     * A second copy of an order.
     *
     * @param entry host and port of the entry, the same as before or another
     * @param afterMillis delay after the first copy in ms
     */
    public record Copy(String entry, long afterMillis) {}
}
