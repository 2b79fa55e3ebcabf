package org.masticcroft.harness.load;

import java.util.Optional;
import org.masticcroft.harness.history.Kind;

/**
 * A request of the generated load.
 *
 * @param sendAtNanos time of sending in ns from the start of the run
 * @param entry host and port of the entry
 * @param caller the caller
 * @param kind kind of request
 * @param stream whether to request a streamed answer
 * @param method HTTP method
 * @param path HTTP path with query
 * @param token unique text in the prompt, body or path
 * @param prompt prompt of a completion
 * @param body request body
 * @param maxTokens length of the answer in tokens
 * @param copy second copy to send regardless of the outcome of the first
 */
public record PlannedRequest(
        long sendAtNanos,
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
     * @param entry host and port of the entry, which may be that of the first copy
     * @param afterMillis delay after the first copy in ms
     */
    public record Copy(String entry, long afterMillis) {}
}
