package org.masticcroft.entry.request;

import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.claim.IdempotencyKey;

/**
 * Specification of a validated request.
 *
 * @param target name of the deployment or plain service
 * @param stream whether the answer is streamed
 * @param idempotent whether executing it twice has the same effect as executing it once
 * @param idempotencyKey idempotency key; present only if the request is not idempotent
 * @param estimatedTokens estimated cost in tokens
 * @param prefixHash hash of the prompt prefix; 0 if there is none
 * @param fingerprint digest of the customer, the body and, for a plain service, the call
 */
public record RequestSpec(
        String target,
        boolean stream,
        boolean idempotent,
        Optional<IdempotencyKey> idempotencyKey,
        int estimatedTokens,
        long prefixHash,
        String fingerprint) {
    public RequestSpec {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(idempotencyKey, "idempotencyKey");
        Objects.requireNonNull(fingerprint, "fingerprint");
    }
}
