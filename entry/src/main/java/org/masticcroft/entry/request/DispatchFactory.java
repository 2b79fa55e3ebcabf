package org.masticcroft.entry.request;

import com.google.protobuf.ByteString;
import java.time.Duration;
import org.masticcroft.entry.admission.Grant;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.wire.generated.Dispatch;
import org.masticcroft.wire.generated.DispatchEnd;

/** Translation between requests and the messages of the peer protocol. */
final class DispatchFactory {
    /** The sidecar ends a request this much earlier, so that its exact verdict arrives before the entry's deadline. */
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

    /** Returns the time that the sidecar may take, in milliseconds. */
    static long sidecarTime(Duration remaining) {
        Duration shorter = remaining.minus(SIDECAR_MARGIN);
        return Math.max(1, shorter.compareTo(SIDECAR_MARGIN) > 0 ? shorter.toMillis() : remaining.toMillis());
    }

    /** Returns the verdict of a failed attempt. A sidecar that has sent a part of an answer can't claim "not run". */
    static Verdict verdict(DispatchEnd end, boolean answerStarted) {
        return switch (end.getVerdict()) {
            case NOT_RUN -> answerStarted ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
            case RAN -> Verdict.RAN;
            default -> Verdict.MAY_HAVE_RUN;
        };
    }

    /** Returns the code of a failed attempt; an unknown or missing code is a failure of the upstream. */
    static ErrorCode code(DispatchEnd end) {
        try {
            return ErrorCode.valueOf(end.getErrorCode());
        } catch (IllegalArgumentException e) {
            return ErrorCode.UPSTREAM_FAILED;
        }
    }
}
