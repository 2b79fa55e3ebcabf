package org.masticcroft.account.record;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Instant;
import java.util.Optional;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * A sidecar's record of one dispatch to its upstream. It is written independently of the entry's record of the request.
 *
 * @param requestId id of the request
 * @param attempt number of the attempt
 * @param entry instance id of the entry
 * @param upstream name of the upstream
 * @param start wall-clock time at which the request was sent to the upstream
 * @param end wall-clock time at which the dispatch ended
 * @param verdict verdict of the dispatch
 * @param errorCode error code, if the dispatch failed
 * @param weightsDigest digest that the engine reported, if any
 * @param incarnation incarnation of the engine process, if reported
 * @param requestDigest SHA-256 of the request body in hex
 * @param answerDigest SHA-256 of the answer in hex, if there was one
 */
public record DispatchRecord(
        @JsonProperty("request_id") String requestId,
        @JsonProperty("attempt") int attempt,
        @JsonProperty("entry") String entry,
        @JsonProperty("upstream") String upstream,
        @JsonProperty("start") Instant start,
        @JsonProperty("end") Instant end,
        @JsonProperty("verdict") Verdict verdict,
        @JsonProperty("error_code") Optional<String> errorCode,
        @JsonProperty("weights_digest") Optional<String> weightsDigest,
        @JsonProperty("incarnation") Optional<String> incarnation,
        @JsonProperty("request_digest") String requestDigest,
        @JsonProperty("answer_digest") Optional<String> answerDigest)
        implements AuditRecord {}
