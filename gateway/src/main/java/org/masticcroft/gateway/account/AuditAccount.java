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

/** Account that is kept as signed records of the audit account. */
public final class AuditAccount implements RequestAccount {
    /** The time of day of a machine may jump by seconds and back again. */
    private static final Duration CLOCK_UNCERTAINTY = Duration.ofSeconds(2);

    private final AccountWriter writer;
    private final TimeSource time;

    private AuditAccount(AccountWriter writer, TimeSource time) {
        this.writer = writer;
        this.time = time;
    }

    /** Creates an account whose records go to a writer. */
    public static AuditAccount of(AccountWriter writer, TimeSource time) {
        return new AuditAccount(Objects.requireNonNull(writer, "writer"), Objects.requireNonNull(time, "time"));
    }

    @Override
    public void ended(AccountedRequest request) {
        Instant end = time.now();
        Optional<AttemptTrace> last = request.sends().isEmpty()
                ? Optional.empty()
                : Optional.of(request.sends().get(request.sends().size() - 1));
        Optional<AttemptTrace> served = last.filter(send -> send.verdict() != Verdict.NOT_RUN);
        writer.write(new RequestRecord(
                request.requestId(),
                request.customer(),
                request.rank(),
                request.service(),
                end.minus(request.took()),
                end,
                CLOCK_UNCERTAINTY.toMillis(),
                request.model(),
                served.flatMap(AuditAccount::version),
                Optional.empty(),
                Optional.empty(),
                served.map(AttemptTrace::upstream),
                request.configVersion(),
                request.configAge().toMillis(),
                request.verdict(),
                error(request.reason()),
                request.status(),
                Sha256.hex(request.body()),
                request.answerDigest(),
                attempts(request.sends())));
    }

    @Override
    public void changed(String kind, Map<String, String> details) {
        writer.write(new ChangeRecord(time.now(), kind, new TreeMap<>(details)));
    }

    @Override
    public void close() {
        writer.close();
    }

    private static List<RequestRecord.Attempt> attempts(List<AttemptTrace> sends) {
        return sends.stream()
                .map(send -> new RequestRecord.Attempt(
                        send.number(),
                        send.upstream(),
                        send.candidates(),
                        List.of(),
                        "shortest predicted time to the first byte: " + send.predictedMillis() + " ms at load "
                                + send.load() + ", weights " + version(send).orElse("none"),
                        send.verdict(),
                        error(send.reason()),
                        Optional.of(Long.toString(send.startMillis()))))
                .toList();
    }

    private static Optional<String> version(AttemptTrace send) {
        return send.weightsVersion().isPresent()
                ? Optional.of(Long.toString(send.weightsVersion().getAsLong()))
                : Optional.empty();
    }

    private static Optional<String> error(String reason) {
        return reason.isEmpty() ? Optional.empty() : Optional.of(reason);
    }
}
