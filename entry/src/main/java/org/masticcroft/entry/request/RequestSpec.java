package org.masticcroft.entry.request;

import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.claim.IdempotencyKey;

/**
 * What a prepared request asks for.
 *
 * @param target deployment or service
 * @param stream whether the answer is streamed
 * @param idempotent whether executing it twice has the same effect as executing it once
 * @param key idempotency key of a non-idempotent call
 * @param estimatedTokens expected cost in tokens
 * @param prefixHash hash of the prompt prefix; 0 if there is none
 * @param fingerprint digest of customer and body
 */
public record RequestSpec(
        String target,
        boolean stream,
        boolean idempotent,
        Optional<IdempotencyKey> key,
        int estimatedTokens,
        long prefixHash,
        String fingerprint) {
    public RequestSpec {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(fingerprint, "fingerprint");
    }
}
