package org.masticcroft.entry.request;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.masticcroft.account.record.RequestRecord;
import org.masticcroft.entry.admission.Grant;
import org.masticcroft.entry.upstream.Weights;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.verdict.Verdict;

/** Builds the audit record of one request. Not thread-safe. */
final class RequestRecordBuilder {
    /** Limits the size of a record when many busy upstreams refuse a request; the last attempt is always kept. */
    private static final int MAX_ATTEMPTS = 32;

    private final String requestId;
    private final Instant arrival;
    private final String requestDigest;
    private final long configVersion;
    private final long configAgeMillis;
    private final List<RequestRecord.Attempt> attempts = new ArrayList<>();
    private final Hasher answerHasher = Hashing.sha256().newHasher();
    private boolean hasAnswer;
    private Verdict combinedVerdict = Verdict.NOT_RUN;
    private Identity identity = Identity.unknown();
    private String target = "";
    private Optional<String> adapter = Optional.empty();
    private Optional<Weights> weights = Optional.empty();
    private Optional<String> reportedDigest = Optional.empty();
    private Optional<String> upstream = Optional.empty();

    RequestRecordBuilder(
            String requestId, Instant arrival, String requestDigest, long configVersion, long configAgeMillis) {
        this.requestId = requestId;
        this.arrival = arrival;
        this.requestDigest = requestDigest;
        this.configVersion = configVersion;
        this.configAgeMillis = configAgeMillis;
    }

    Optional<Weights> weights() {
        return weights;
    }

    Optional<String> upstream() {
        return upstream;
    }

    /**
     * Returns the verdict on the request after all attempts so far. {@code RAN} overrides {@code MAY_HAVE_RUN}, which
     * overrides {@code NOT_RUN}.
     */
    Verdict combinedVerdict() {
        return combinedVerdict;
    }

    /** Records that an earlier request with the same idempotency key was executed. */
    void markAlreadyRan() {
        combinedVerdict = Verdict.RAN;
    }

    void identity(Identity newIdentity) {
        identity = newIdentity;
    }

    void target(String newTarget, Optional<String> newAdapter) {
        target = newTarget;
        adapter = newAdapter;
    }

    void grant(Grant grant) {
        weights = grant.weights();
        upstream = Optional.of(grant.upstream());
    }

    void reportedWeightsDigest(String digest) {
        reportedDigest = digest.isEmpty() ? Optional.empty() : Optional.of(digest);
    }

    void addAttempt(int number, Grant grant, Verdict verdict, Optional<ErrorCode> code, String incarnation) {
        if (verdict == Verdict.RAN || verdict == Verdict.MAY_HAVE_RUN && combinedVerdict == Verdict.NOT_RUN) {
            combinedVerdict = verdict;
        }
        RequestRecord.Attempt attempt = new RequestRecord.Attempt(
                number,
                grant.upstream(),
                grant.candidates(),
                grant.candidateNames(),
                grant.reason(),
                verdict,
                code.map(Enum::name),
                incarnation.isEmpty() ? Optional.empty() : Optional.of(incarnation));
        if (attempts.size() == MAX_ATTEMPTS) {
            attempts.remove(MAX_ATTEMPTS - 1);
        }
        attempts.add(attempt);
    }

    void addAnswerData(byte[] data) {
        hasAnswer = true;
        answerHasher.putBytes(data);
    }

    RequestRecord build(
            Instant end, long clockUncertaintyMillis, Verdict verdict, Optional<ErrorCode> code, int httpStatus) {
        return new RequestRecord(
                requestId,
                identity.customer(),
                identity.rank(),
                target,
                arrival,
                end,
                clockUncertaintyMillis,
                weights.map(Weights::model),
                weights.map(Weights::version),
                adapter,
                reportedDigest,
                upstream,
                configVersion,
                configAgeMillis,
                verdict,
                code.map(Enum::name),
                httpStatus,
                requestDigest,
                hasAnswer ? Optional.of(answerHasher.hash().toString()) : Optional.empty(),
                attempts);
    }
}
