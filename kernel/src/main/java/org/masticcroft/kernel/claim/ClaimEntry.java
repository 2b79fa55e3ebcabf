package org.masticcroft.kernel.claim;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.verdict.Verdict;

/** A claim or an outcome of an idempotency key in a record of the claim stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ClaimEntry.Claim.class, name = "claim"),
    @JsonSubTypes.Type(value = ClaimEntry.Outcome.class, name = "outcome")
})
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public sealed interface ClaimEntry {
    /** Returns the digest of the customer and the key. */
    String keyDigest();

    /** Returns the id of the attempt, which is unique across all entries and never reused. */
    String attemptId();

    /**
     * The claim of an entry to run the order of a key.
     *
     * @param keyDigest digest of the customer and the key
     * @param attemptId id of the attempt
     * @param entry instance id of the entry
     * @param requestDigest digest of the request, to detect that a key is reused for a different request; may be empty
     * @param dispatchByEpochMillis wall-clock time in epoch milliseconds after which the attempt must not be dispatched
     */
    record Claim(
            @JsonProperty("key") String keyDigest,
            @JsonProperty("attempt") String attemptId,
            @JsonProperty("entry") String entry,
            @JsonProperty("request") String requestDigest,
            @JsonProperty("dispatch_by_ms") long dispatchByEpochMillis)
            implements ClaimEntry {
        /** Rejects absent values, except that an absent request digest becomes empty. */
        public Claim {
            Objects.requireNonNull(keyDigest, "keyDigest");
            Objects.requireNonNull(attemptId, "attemptId");
            Objects.requireNonNull(entry, "entry");
            requestDigest = requestDigest == null ? "" : requestDigest;
        }

        /** Returns whether the key was claimed for a request with a different digest; false if none was recorded. */
        public boolean isForDifferentRequest(String digest) {
            return !requestDigest.isEmpty() && !requestDigest.equals(digest);
        }
    }

    /**
     * The outcome of an attempt.
     *
     * @param keyDigest digest of the customer and the key
     * @param attemptId id of the attempt
     * @param verdict whether the order was executed: {@code RAN} or {@code NOT_RUN}
     * @param status HTTP status of the answer; 0 if there was none
     * @param answerDigest hex SHA-256 of the answer, if there was one
     */
    record Outcome(
            @JsonProperty("key") String keyDigest,
            @JsonProperty("attempt") String attemptId,
            @JsonProperty("verdict") Verdict verdict,
            @JsonProperty("status") int status,
            @JsonProperty("answer") Optional<String> answerDigest)
            implements ClaimEntry {
        public Outcome {
            Objects.requireNonNull(keyDigest, "keyDigest");
            Objects.requireNonNull(attemptId, "attemptId");
            Objects.requireNonNull(verdict, "verdict");
            answerDigest = answerDigest == null ? Optional.empty() : answerDigest;
        }

        /** Creates the outcome of an attempt that was not executed and never will be. */
        public static Outcome notRun(String keyDigest, String attemptId) {
            return new Outcome(keyDigest, attemptId, Verdict.NOT_RUN, 0, Optional.empty());
        }

        /** Creates the outcome of an attempt that was executed. */
        public static Outcome ran(String keyDigest, String attemptId, int status, Optional<String> answerDigest) {
            return new Outcome(keyDigest, attemptId, Verdict.RAN, status, answerDigest);
        }
    }
}
