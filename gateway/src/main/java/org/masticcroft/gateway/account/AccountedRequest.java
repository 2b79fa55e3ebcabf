package org.masticcroft.gateway.account;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.gateway.exchange.AttemptTrace;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * What the account states about a request.
 *
 * @param requestId id of the request
 * @param customer name of the customer; empty if none was identified
 * @param rank rank by which it was served
 * @param service service that it was for; empty if no route matched
 * @param model model of the service, if it has one
 * @param took time from the arrival to the end
 * @param configVersion version of the configuration in force; 0 if none was known
 * @param configAge time since the store confirmed it
 * @param status HTTP status that the caller received; 0 if its connection was closed
 * @param verdict verdict that the caller could conclude
 * @param reason reason of a failure; empty for an answer that was passed on
 * @param body body of the request
 * @param answerDigest SHA-256 of the answer in hex, if any was passed on
 * @param sends all sends in order
 */
public record AccountedRequest(
        String requestId,
        String customer,
        String rank,
        String service,
        Optional<String> model,
        Duration took,
        long configVersion,
        Duration configAge,
        int status,
        Verdict verdict,
        String reason,
        byte[] body,
        Optional<String> answerDigest,
        List<AttemptTrace> sends) {
    /** Rejects missing values and copies the list. */
    public AccountedRequest {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(took, "took");
        Objects.requireNonNull(configAge, "configAge");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(reason, "reason");
        sends = List.copyOf(sends);
    }
}
