package org.masticcroft.gateway.account;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.gateway.exchange.AttemptTrace;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * Outcome of a request, as it is recorded in the account.
 *
 * @param requestId id of the request
 * @param customer name of the customer; empty if none was identified
 * @param rank rank with which it was served; empty if it was refused before routing
 * @param service service of its route; empty if no route matched
 * @param model model of the service, if it has one
 * @param duration time from the arrival to the end
 * @param configVersion version of the configuration in force; 0 if none was known
 * @param configAge time since the store confirmed it
 * @param status HTTP status that the caller received; 0 if its connection was closed
 * @param verdict whether the request may have run, as far as the caller can tell
 * @param reason reason of a failure; empty if a response was passed on
 * @param body body of the request
 * @param answerDigest SHA-256 of the response in hex, if one was passed on
 * @param attempts all attempts at upstreams, in order
 */
public record FinishedRequest(
        String requestId,
        String customer,
        String rank,
        String service,
        Optional<String> model,
        Duration duration,
        long configVersion,
        Duration configAge,
        int status,
        Verdict verdict,
        String reason,
        byte[] body,
        Optional<String> answerDigest,
        List<AttemptTrace> attempts) {
    /** Requires the mandatory values and copies the list. */
    public FinishedRequest {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(duration, "duration");
        Objects.requireNonNull(configAge, "configAge");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(reason, "reason");
        attempts = List.copyOf(attempts);
    }
}
