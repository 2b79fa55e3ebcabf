package org.masticcroft.harness.history;

import java.util.Objects;

/**
 * The outcome of a request as its caller observed it. Absent strings are empty, absent numbers are 0.
 *
 * @param id id of the request
 * @param timeMs wall clock in epoch ms
 * @param status HTTP status, 0 if there was no response
 * @param error {@link #REFUSED}, {@link #TIMEOUT} or {@link #BROKEN} if the exchange did not end normally
 * @param verdict verdict in the header, the error body or the error event
 * @param code error code
 * @param requestId request id assigned by the entry
 * @param weightsDigest weights digest in the header
 * @param upstream upstream in the header
 * @param configVersion configuration version in the header
 * @param answer text of the answer, or the body of a service's response
 * @param complete whether the response was received to its regular end
 * @param firstTokenMs time to the first token in ms
 * @param totalMs time to the end in ms
 */
public record Outcome(
        String id,
        long timeMs,
        int status,
        String error,
        String verdict,
        String code,
        String requestId,
        String weightsDigest,
        String upstream,
        long configVersion,
        String answer,
        boolean complete,
        double firstTokenMs,
        double totalMs) {
    /** The connection was not established. */
    public static final String REFUSED = "refused";

    /** The caller cancelled the request because its timeout had passed. */
    public static final String TIMEOUT = "timeout";

    /** The connection broke. */
    public static final String BROKEN = "broken";

    /** Replaces absent strings by empty ones. */
    public Outcome {
        Objects.requireNonNull(id, "id");
        error = orEmpty(error);
        verdict = orEmpty(verdict);
        code = orEmpty(code);
        requestId = orEmpty(requestId);
        weightsDigest = orEmpty(weightsDigest);
        upstream = orEmpty(upstream);
        answer = orEmpty(answer);
    }

    /** Returns whether the response says that the request was not run. */
    public boolean isNotRun() {
        return verdict.equals("NOT_RUN");
    }

    /** Returns whether the caller received a complete response with status 200. */
    public boolean isSuccess() {
        return status == 200 && complete && error.isEmpty();
    }

    private static String orEmpty(String text) {
        return text == null ? "" : text;
    }
}
