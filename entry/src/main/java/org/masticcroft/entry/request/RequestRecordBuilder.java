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

/** What the audit account will state about one request. Not safe for use by many threads. */
final class RequestRecordBuilder {
    /** Bounds the record of a request that many busy upstreams refused; the last attempt is always kept. */
    private static final int MAX_ATTEMPTS = 32;

    private final String requestId;
    private final Instant arrival;
    private final String requestDigest;
    private final long configVersion;
    private final long configAgeMillis;
    private final List<RequestRecord.Attempt> attempts = new ArrayList<>();
    private final Hasher answer = Hashing.sha256().newHasher();
    private boolean answered;
    private Verdict worst = Verdict.NOT_RUN;
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

    /** Returns the verdict on the request after all attempts so far. */
    Verdict worst() {
        return worst;
    }

    /** Notes that an earlier request with the same idempotency key was executed. */
    void alreadyRan() {
        worst = Verdict.RAN;
    }

    void identity(Identity newIdentity) {
        identity = newIdentity;
    }

    void target(String newTarget, Optional<String> newAdapter) {
        target = newTarget;
        adapter = newAdapter;
    }

    void granted(Grant grant) {
        weights = grant.weights();
        upstream = Optional.of(grant.upstream());
    }

    void reported(String digest) {
        reportedDigest = digest.isEmpty() ? Optional.empty() : Optional.of(digest);
    }

    void attempt(int number, Grant grant, Verdict verdict, Optional<ErrorCode> code, String incarnation) {
        if (verdict == Verdict.RAN || verdict == Verdict.MAY_HAVE_RUN && worst == Verdict.NOT_RUN) {
            worst = verdict;
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

    void answer(byte[] data) {
        answered = true;
        answer.putBytes(data);
    }

    RequestRecord close(
            Instant end, long uncertaintyMillis, Verdict verdict, Optional<ErrorCode> code, int httpStatus) {
        return new RequestRecord(
                requestId,
                identity.customer(),
                identity.rank(),
                target,
                arrival,
                end,
                uncertaintyMillis,
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
                answered ? Optional.of(answer.hash().toString()) : Optional.empty(),
                attempts);
    }
}
