package org.masticcroft.kernel.claim;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.verdict.Verdict;

/** One statement about an idempotency key in a record of the claim stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ClaimEntry.Claim.class, name = "claim"),
    @JsonSubTypes.Type(value = ClaimEntry.Outcome.class, name = "outcome")
})
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public sealed interface ClaimEntry {
    /** Returns the digest of customer and key. */
    String keyDigest();

    /** Returns the id of the attempt; unique over all entries and never reused. */
    String attemptId();

    /**
     * An entry wants to run the order of a key.
     *
     * @param keyDigest digest of customer and key
     * @param attemptId id of the attempt
     * @param entry instance id of the entry
     * @param requestDigest digest of the call, by which a key that is used for another call is recognised; may be empty
     * @param dispatchByEpochMillis wall-clock time in epoch milliseconds after which the attempt is not dispatched
     */
    record Claim(
            @JsonProperty("key") String keyDigest,
            @JsonProperty("attempt") String attemptId,
            @JsonProperty("entry") String entry,
            @JsonProperty("request") String requestDigest,
            @JsonProperty("dispatch_by_ms") long dispatchByEpochMillis)
            implements ClaimEntry {
        /** Rejects absent values. */
        public Claim {
            Objects.requireNonNull(keyDigest, "keyDigest");
            Objects.requireNonNull(attemptId, "attemptId");
            Objects.requireNonNull(entry, "entry");
            requestDigest = requestDigest == null ? "" : requestDigest;
        }

        /** Returns whether the key was claimed for another call than the one with this digest. */
        public boolean isForDifferentRequest(String otherDigest) {
            return !requestDigest.isEmpty() && !requestDigest.equals(otherDigest);
        }
    }

    /**
     * What became of an attempt.
     *
     * @param keyDigest digest of customer and key
     * @param attemptId id of the attempt
     * @param verdict {@code RAN} or {@code NOT_RUN}
     * @param status HTTP status of the answer; 0 without one
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
