package org.masticcroft.kernel.error;

/** Stable error codes that are reported to callers, operators and peer processes. */
public enum ErrorCode {
    /** The path, a header or the body of the request is not valid. */
    MALFORMED_REQUEST(400),
    /** A non-idempotent request has no idempotency key. */
    IDEMPOTENCY_KEY_REQUIRED(400),
    /** The idempotency key is not valid, was issued in the future or was used for another call. */
    IDEMPOTENCY_KEY_MALFORMED(400),
    /** The caller key is missing or unknown. */
    UNKNOWN_KEY(401),
    /** No deployment has the requested model name. */
    UNKNOWN_MODEL(404),
    /** No plain service has the requested name. */
    UNKNOWN_SERVICE(404),
    /** The service has no route for the method and path. */
    UNKNOWN_ROUTE(404),
    /** The request was executed before, and its answer is no longer available. */
    ALREADY_RUN(409),
    /** An earlier request with the same idempotency key is running, or its outcome is unknown. */
    ORDER_IN_PROGRESS(409),
    /** The idempotency key is older than its lifetime, so an earlier attempt may have run. */
    IDEMPOTENCY_KEY_EXPIRED(409),
    /** The request body exceeds the configured limit. */
    BODY_TOO_LARGE(413),
    /** Upstreams crashed while they ran this request, so it is not sent to another one. */
    QUARANTINED(422),
    /** The customer exceeds its request rate. */
    RATE_LIMITED(429),
    /** The admission queue has no room for the request, or another request took its place. */
    QUEUE_FULL(429),
    /** The expected wait is too long for the rank's target for the time to the first token. */
    TARGET_UNREACHABLE(429),
    /** The call to the upstream failed, or its response was malformed. */
    UPSTREAM_FAILED(502),
    /** The upstream refused the call, or the call cannot be sent to it safely. */
    UPSTREAM_REJECTED(502),
    /** The upstream process ended or restarted while it ran the request. */
    UPSTREAM_CRASHED(502),
    /** The answer broke off, or its parts are inconsistent. */
    ANSWER_INCOMPLETE(502),
    /** An engine reports other weights or another incarnation than expected, or a source returned other weights. */
    WEIGHTS_MISMATCH(502),
    /** A peer process could not be reached, or the connection to it broke. */
    PEER_UNREACHABLE(502),
    /** The process or the engine has too many requests in progress. */
    BUSY(503),
    /** The process is stopping. */
    DRAINING(503),
    /** No upstream can serve the request, or it was dispatched to the wrong one. */
    NO_UPSTREAM(503),
    /** The process has no configuration, or, for an order, none that is confirmed. */
    CONFIG_UNAVAILABLE(503),
    /** The process has not reached the configuration version that the caller requires. */
    CONFIG_BEHIND(503),
    /** The log service did not answer in time, or refused. */
    LOG_UNAVAILABLE(503),
    /** The engine has not loaded the weights, or is unloading them. */
    WEIGHTS_NOT_LOADED(503),
    /** The request was stopped in favour of one of a more urgent rank. */
    PREEMPTED(503),
    /** An order was not dispatched before its claim expired. */
    CLAIM_LAPSED(503),
    /** The request did not end before its deadline. */
    DEADLINE_EXCEEDED(504),
    /** The request was cancelled, for example because the caller disconnected. */
    CANCELLED(499),
    /** A setting of a process or command has an invalid value. */
    INVALID_SETTING(500),
    /** A requested change of the configuration is not valid. */
    INVALID_CONFIGURATION(500),
    /** An unexpected error occurred. */
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
