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
 * @param reason reason of a failure; empty for a successful response that was forwarded
 * @param responseStarted whether a streamed response was started
 * @param upstream id of the upstream that responded; empty if none did
 * @param answerDigest SHA-256 digest of the forwarded response in hex; empty if nothing was forwarded
 * @param attempts all attempts in order
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
