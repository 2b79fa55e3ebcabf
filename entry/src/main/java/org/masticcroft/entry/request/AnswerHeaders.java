package org.masticcroft.entry.request;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.entry.upstream.Weights;

/**
 * Metadata that the caller receives in the headers of an answer.
 *
 * @param requestId id of the request
 * @param weights weights that served the request, if any
 * @param upstream upstream that served the request, if any
 * @param configVersion configuration version in force
 * @param unconfirmedConfigAge time since the configuration was confirmed, present only while it is unconfirmed
 * @param replayed whether the answer is the stored one of an earlier request with the same idempotency key
 */
public record AnswerHeaders(
        String requestId,
        Optional<Weights> weights,
        Optional<String> upstream,
        long configVersion,
        Optional<Duration> unconfirmedConfigAge,
        boolean replayed) {
    public AnswerHeaders {
        Objects.requireNonNull(requestId, "requestId");
    }
}
