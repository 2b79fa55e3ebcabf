package org.masticcroft.sidecar.dispatch;

import java.time.Instant;
import java.util.Optional;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * How a dispatch ended.
 *
 * @param verdict whether the upstream executed the request
 * @param code error code; empty on success
 * @param message message for the caller; empty on success
 * @param crashed whether the upstream process ended or restarted meanwhile
 * @param report what is known about the response
 */
record Outcome(Verdict verdict, Optional<ErrorCode> code, String message, boolean crashed, Report report) {
    static Outcome success(Report report) {
        return new Outcome(Verdict.RAN, Optional.empty(), "", false, report);
    }

    static Outcome failure(Verdict verdict, ErrorCode code, String message, Report report) {
        return new Outcome(verdict, Optional.of(code), message, false, report);
    }

    static Outcome refusal(ErrorCode code, String message) {
        return failure(Verdict.NOT_RUN, code, message, Report.none());
    }

    Outcome withCrash() {
        return new Outcome(verdict, Optional.of(ErrorCode.UPSTREAM_CRASHED), message, true, report);
    }

    /**
     * What is known about a response.
     *
     * @param sentAt time at which the request was sent to the upstream; empty if it was not
     * @param weightsDigest digest that the engine reported; empty if none
     * @param incarnation incarnation that the engine reported; empty if none
     * @param byteCount bytes passed on to the entry
     * @param sha256 SHA-256 of these bytes; empty if there are none
     * @param usage token counts
     */
    record Report(
            Optional<Instant> sentAt,
            String weightsDigest,
            String incarnation,
            long byteCount,
            byte[] sha256,
            Answer.Usage usage) {
        static Report none() {
            return new Report(Optional.empty(), "", "", 0, new byte[0], Answer.Usage.NONE);
        }
    }
}
