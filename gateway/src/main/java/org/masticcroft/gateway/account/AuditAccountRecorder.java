package org.masticcroft.gateway.account;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.masticcroft.account.batch.Sha256;
import org.masticcroft.account.record.ChangeRecord;
import org.masticcroft.account.record.RequestRecord;
import org.masticcroft.account.writer.AccountWriter;
import org.masticcroft.gateway.exchange.AttemptTrace;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.kernel.verdict.Verdict;

/** Converts requests and changes to records of the audit account and passes them to an account writer. */
public final class AuditAccountRecorder implements AccountRecorder {
    /** Stated uncertainty of recorded times: the wall clock of a machine may jump by seconds and back again. */
    private static final Duration CLOCK_UNCERTAINTY = Duration.ofSeconds(2);

    private final AccountWriter writer;
    private final TimeSource time;

    private AuditAccountRecorder(AccountWriter writer, TimeSource time) {
        this.writer = writer;
        this.time = time;
    }

    /**
     * Creates a recorder.
     *
     * @param writer receives the records
     * @param time time source
     */
    public static AuditAccountRecorder of(AccountWriter writer, TimeSource time) {
        return new AuditAccountRecorder(Objects.requireNonNull(writer, "writer"), Objects.requireNonNull(time, "time"));
    }

    @Override
    public void recordRequest(FinishedRequest request) {
        Instant end = time.now();
        Optional<AttemptTrace> last = request.attempts().isEmpty()
                ? Optional.empty()
                : Optional.of(request.attempts().get(request.attempts().size() - 1));
        Optional<AttemptTrace> served = last.filter(attempt -> attempt.verdict() != Verdict.NOT_RUN);
        writer.write(new RequestRecord(
                request.requestId(),
                request.customer(),
                request.rank(),
                request.service(),
                end.minus(request.duration()),
                end,
                CLOCK_UNCERTAINTY.toMillis(),
                request.model(),
                served.flatMap(AuditAccountRecorder::version),
                Optional.empty(),
                Optional.empty(),
                served.map(AttemptTrace::upstream),
                request.configVersion(),
                request.configAge().toMillis(),
                request.verdict(),
                errorCode(request.reason()),
                request.status(),
                Sha256.hex(request.body()),
                request.answerDigest(),
                attempts(request.attempts())));
    }

    @Override
    public void recordChange(String kind, Map<String, String> details) {
        writer.write(new ChangeRecord(time.now(), kind, new TreeMap<>(details)));
    }

    @Override
    public void close() {
        writer.close();
    }

    private static List<RequestRecord.Attempt> attempts(List<AttemptTrace> attempts) {
        return attempts.stream()
                .map(attempt -> new RequestRecord.Attempt(
                        attempt.number(),
                        attempt.upstream(),
                        attempt.candidates(),
                        List.of(),
                        "shortest predicted time to the first byte: " + attempt.predictedMillis() + " ms at load "
                                + attempt.load() + ", weights "
                                + version(attempt).orElse("none"),
                        attempt.verdict(),
                        errorCode(attempt.reason()),
                        Optional.of(Long.toString(attempt.startMillis()))))
                .toList();
    }

    private static Optional<String> version(AttemptTrace attempt) {
        return attempt.weightsVersion().isPresent()
                ? Optional.of(Long.toString(attempt.weightsVersion().getAsLong()))
                : Optional.empty();
    }

    private static Optional<String> errorCode(String reason) {
        return reason.isEmpty() ? Optional.empty() : Optional.of(reason);
    }
}
