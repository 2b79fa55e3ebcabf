package org.masticcroft.entry.request;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.entry.upstream.Weights;

/**
 * What a caller is told about its answer in headers.
 *
 * @param requestId id of the request
 * @param weights weights that served it, if any
 * @param upstream upstream that served it, if any
 * @param configVersion configuration version in force
 * @param unconfirmedFor time since the configuration was confirmed, if it counts as unconfirmed
 * @param replayed whether the answer is the stored one of an earlier request with the same idempotency key
 */
public record AnswerHeaders(
        String requestId,
        Optional<Weights> weights,
        Optional<String> upstream,
        long configVersion,
        Optional<Duration> unconfirmedFor,
        boolean replayed) {
    public AnswerHeaders {
        Objects.requireNonNull(requestId, "requestId");
    }
}
