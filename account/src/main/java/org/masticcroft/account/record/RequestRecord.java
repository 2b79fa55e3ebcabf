package org.masticcroft.account.record;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * An entry's record of one request.
 *
 * @param requestId id of the request
 * @param customer name of the customer; empty if the caller's key was unknown
 * @param rank name of the rank
 * @param target deployment or service that the caller named
 * @param arrival wall-clock time at which the request arrived
 * @param end wall-clock time at which the request ended
 * @param clockUncertaintyMillis uncertainty of both times in milliseconds
 * @param model name of the model
 * @param version name of the version
 * @param adapter adapter in use, if any
 * @param weightsDigest digest that the engine reported with the answer
 * @param upstream name of the upstream that served the request
 * @param configVersion configuration version in force at arrival
 * @param configAgeMillis milliseconds since that version was confirmed against the log
 * @param verdict verdict returned to the caller; {@code RAN} for success
 * @param errorCode error code returned to the caller, if any
 * @param httpStatus HTTP status returned to the caller
 * @param requestDigest SHA-256 of the request body in hex
 * @param answerDigest SHA-256 of the answer in hex, if there was one
 * @param attempts all attempts in order
 */
public record RequestRecord(
        @JsonProperty("request_id") String requestId,
        @JsonProperty("customer") String customer,
        @JsonProperty("rank") String rank,
        @JsonProperty("target") String target,
        @JsonProperty("arrival") Instant arrival,
        @JsonProperty("end") Instant end,
        @JsonProperty("clock_uncertainty_ms") long clockUncertaintyMillis,
        @JsonProperty("model") Optional<String> model,
        @JsonProperty("version") Optional<String> version,
        @JsonProperty("adapter") Optional<String> adapter,
        @JsonProperty("weights_digest") Optional<String> weightsDigest,
        @JsonProperty("upstream") Optional<String> upstream,
        @JsonProperty("config_version") long configVersion,
        @JsonProperty("config_age_ms") long configAgeMillis,
        @JsonProperty("verdict") Verdict verdict,
        @JsonProperty("error_code") Optional<String> errorCode,
        @JsonProperty("http_status") int httpStatus,
        @JsonProperty("request_digest") String requestDigest,
        @JsonProperty("answer_digest") Optional<String> answerDigest,
        @JsonProperty("attempts") List<Attempt> attempts)
        implements AuditRecord {

    public RequestRecord {
        attempts = List.copyOf(attempts);
    }

    /**
     * One attempt to run the request on an upstream.
     *
     * @param number number of the attempt, from 1
     * @param upstream name of the chosen upstream
     * @param candidates number of candidates
     * @param candidateNames names of at most eight candidates
     * @param reason reason for the choice
     * @param verdict verdict of the attempt
     * @param errorCode error code of the attempt, if it failed
     * @param incarnation incarnation of the engine process, if it reported one
     */
    public record Attempt(
            @JsonProperty("number") int number,
            @JsonProperty("upstream") String upstream,
            @JsonProperty("candidates") int candidates,
            @JsonProperty("candidate_names") List<String> candidateNames,
            @JsonProperty("reason") String reason,
            @JsonProperty("verdict") Verdict verdict,
            @JsonProperty("error_code") Optional<String> errorCode,
            @JsonProperty("incarnation") Optional<String> incarnation) {
        public Attempt {
            candidateNames = List.copyOf(candidateNames);
        }
    }
}
