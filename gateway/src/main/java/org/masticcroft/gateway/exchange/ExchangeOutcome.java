package org.masticcroft.gateway.exchange;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * How a request ended.
 *
 * @param status HTTP status that the caller received; 0 if its connection was closed
 * @param verdict whether the request may have run
 * @param reason reason of a failure; empty for an answer that was passed on
 *
 * @param responseStarted whether a streamed answer was started
 * @param upstream id of the upstream that answered; empty if none did
 * @param answerDigest SHA-256 of the answer in hex, if any was passed on
 * @param attempts all sends to upstreams in order
 */
public record ExchangeOutcome(
        int status,
        Verdict verdict,
        String reason,
        boolean responseStarted,
        String upstream,
        Optional<String> answerDigest,
        List<AttemptTrace> attempts) {
    public ExchangeOutcome {
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(upstream, "upstream");
        attempts = List.copyOf(attempts);
    }
}
