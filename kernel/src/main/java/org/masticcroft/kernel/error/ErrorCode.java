package org.masticcroft.kernel.error;

/** Stable error codes that callers, operators and peer processes see. */
public enum ErrorCode {
    MALFORMED_REQUEST(400),
    IDEMPOTENCY_KEY_REQUIRED(400),
    IDEMPOTENCY_KEY_MALFORMED(400),
    UNKNOWN_KEY(401),
    UNKNOWN_MODEL(404),
    UNKNOWN_SERVICE(404),
    UNKNOWN_ROUTE(404),
    ALREADY_RUN(409),
    ORDER_IN_PROGRESS(409),
    IDEMPOTENCY_KEY_EXPIRED(409),
    BODY_TOO_LARGE(413),
    QUARANTINED(422),
    RATE_LIMITED(429),
    QUEUE_FULL(429),
    TARGET_UNREACHABLE(429),
    UPSTREAM_FAILED(502),
    UPSTREAM_REJECTED(502),
    UPSTREAM_CRASHED(502),
    ANSWER_INCOMPLETE(502),
    WEIGHTS_MISMATCH(502),
    PEER_UNREACHABLE(502),
    BUSY(503),
    DRAINING(503),
    NO_UPSTREAM(503),
    CONFIG_UNAVAILABLE(503),
    CONFIG_BEHIND(503),
    LOG_UNAVAILABLE(503),
    WEIGHTS_NOT_LOADED(503),
    PREEMPTED(503),
    CLAIM_LAPSED(503),
    DEADLINE_EXCEEDED(504),
    CANCELLED(499),
    INVALID_SETTING(500),
    INVALID_CONFIGURATION(500),
    INTERNAL(500);

    private final int httpStatus;

    ErrorCode(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /** Returns the HTTP status that a caller receives with this code. */
    public int httpStatus() {
        return httpStatus;
    }
}
