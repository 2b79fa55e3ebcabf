package org.masticcroft.entry.request;

import com.google.protobuf.ByteString;
import java.time.Duration;
import org.masticcroft.entry.admission.Grant;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.wire.generated.Dispatch;
import org.masticcroft.wire.generated.DispatchEnd;

/** Creates the dispatch messages of the peer protocol and decodes the messages that end a dispatch. */
final class DispatchFactory {
    /** The sidecar's deadline is this much earlier, so that its exact verdict arrives before the entry's deadline. */
    private static final Duration SIDECAR_MARGIN = Duration.ofMillis(150);

    private DispatchFactory() {}

    static Dispatch.Builder dispatch(
            String requestId, int attempt, CallerRequest request, RequestSpec spec, Identity identity, Grant grant) {
        Dispatch.Builder dispatch = Dispatch.newBuilder()
                .setRequestId(requestId)
                .setAttempt(attempt)
                .setUpstream(grant.upstream())
                .setMethod(request.method())
                .setPath(request.path())
                .setContentType(request.contentType())
                .setBody(ByteString.copyFrom(request.body()))
                .setStream(spec.stream())
                .setRank(identity.rank())
                .setRankOrder(identity.rankOrder())
                .setCustomer(identity.customer())
                .setIdempotent(spec.idempotent())
                .setFingerprint(spec.fingerprint());
        grant.weights()
                .ifPresent(weights -> dispatch.setModel(weights.model())
                        .setVersion(weights.version())
                        .setWeightsDigest(weights.digest()));
        return dispatch;
    }

    /** Returns the timeout of the sidecar; the margin is omitted if no more than twice the margin remains. */
    static long sidecarTimeoutMillis(Duration remaining) {
        Duration reduced = remaining.minus(SIDECAR_MARGIN);
        return Math.max(1, reduced.compareTo(SIDECAR_MARGIN) > 0 ? reduced.toMillis() : remaining.toMillis());
    }

    /**
     * Returns the verdict of a failed attempt. {@code NOT_RUN} is not accepted from a sidecar that has already sent a
     * part of the answer.
     */
    static Verdict verdict(DispatchEnd end, boolean answerStarted) {
        return switch (end.getVerdict()) {
            case NOT_RUN -> answerStarted ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
            case RAN -> Verdict.RAN;
            default -> Verdict.MAY_HAVE_RUN;
        };
    }

    /** Returns the error code of a failed attempt; an unknown or missing code counts as a failure of the upstream. */
    static ErrorCode code(DispatchEnd end) {
        try {
            return ErrorCode.valueOf(end.getErrorCode());
        } catch (IllegalArgumentException e) {
            return ErrorCode.UPSTREAM_FAILED;
        }
    }
}
