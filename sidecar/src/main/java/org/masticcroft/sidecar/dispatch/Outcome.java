package org.masticcroft.sidecar.dispatch;

import java.time.Instant;
import java.util.Optional;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * Result of a dispatch.
 *
 * @param verdict whether the upstream executed the request
 * @param code error code; empty on success
 * @param message error message for the caller; empty on success
 * @param crashed whether the upstream process ended or restarted during the request
 * @param response summary of the response
 */
record Outcome(Verdict verdict, Optional<ErrorCode> code, String message, boolean crashed, ResponseSummary response) {
    static Outcome success(ResponseSummary response) {
        return new Outcome(Verdict.RAN, Optional.empty(), "", false, response);
    }

    static Outcome failure(Verdict verdict, ErrorCode code, String message, ResponseSummary response) {
        return new Outcome(verdict, Optional.of(code), message, false, response);
    }

    static Outcome refusal(ErrorCode code, String message) {
        return failure(Verdict.NOT_RUN, code, message, ResponseSummary.none());
    }

    Outcome withCrash() {
        return new Outcome(verdict, Optional.of(ErrorCode.UPSTREAM_CRASHED), message, true, response);
    }

    /**
     * Summary of the response of the upstream, as far as it was received.
     *
     * @param sentAt time at which the request was sent to the upstream; empty if it was not sent
     * @param weightsDigest digest that the engine reported; empty if none
     * @param incarnation incarnation that the engine reported; empty if none
     * @param byteCount number of bytes forwarded to the entry
     * @param sha256 SHA-256 of the forwarded bytes; empty if no response was forwarded
     * @param usage token counts that the upstream reported
     */
    record ResponseSummary(
            Optional<Instant> sentAt,
            String weightsDigest,
            String incarnation,
            long byteCount,
            byte[] sha256,
            ResponseFilter.Usage usage) {
        static ResponseSummary none() {
            return new ResponseSummary(Optional.empty(), "", "", 0, new byte[0], ResponseFilter.Usage.NONE);
        }
    }
}
