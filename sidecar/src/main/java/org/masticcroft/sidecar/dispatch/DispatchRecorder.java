package org.masticcroft.sidecar.dispatch;

import com.codahale.metrics.MetricRegistry;
import java.time.Instant;
import java.util.HexFormat;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.masticcroft.account.record.DispatchRecord;
import org.masticcroft.account.writer.AccountWriter;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.weights.Sha256;
import org.masticcroft.wire.generated.Dispatch;

/** Writes the audit record, the log line and the metrics of each dispatch. */
public final class DispatchRecorder {
    private final String upstream;
    private final AccountWriter account;
    private final TimeSource time;
    private final MetricRegistry metrics;

    private DispatchRecorder(String upstream, AccountWriter account, TimeSource time, MetricRegistry metrics) {
        this.upstream = upstream;
        this.account = account;
        this.time = time;
        this.metrics = metrics;
    }

    /** Creates the recorder of one upstream. */
    public static DispatchRecorder of(String upstream, AccountWriter account, TimeSource time, MetricRegistry metrics) {
        return new DispatchRecorder(
                Objects.requireNonNull(upstream, "upstream"),
                Objects.requireNonNull(account, "account"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    void ended(Dispatch dispatch, Instant arrival, Outcome outcome) {
        Instant end = time.now();
        Outcome.Report report = outcome.report();
        String code = outcome.code().map(Enum::name).orElse("");
        account.write(new DispatchRecord(
                dispatch.getRequestId(),
                dispatch.getAttempt(),
                dispatch.getEntry(),
                upstream,
                report.sentAt().orElse(arrival),
                end,
                outcome.verdict(),
                outcome.code().map(Enum::name),
                nonEmpty(report.weightsDigest()),
                nonEmpty(report.incarnation()),
                Sha256.hex(dispatch.getBody().toByteArray()),
                report.sha256().length == 0
                        ? Optional.empty()
                        : Optional.of(HexFormat.of().formatHex(report.sha256()))));
        metrics.counter(MetricRegistry.name(
                        "sidecar.dispatch", outcome.verdict().name(), code))
                .inc();
        metrics.timer("sidecar.dispatch.duration")
                .update(end.toEpochMilli() - arrival.toEpochMilli(), TimeUnit.MILLISECONDS);
        EventLog.info(
                report.sentAt().isPresent() ? Event.DISPATCH_FINISHED : Event.DISPATCH_REFUSED,
                "request",
                dispatch.getRequestId(),
                "attempt",
                dispatch.getAttempt(),
                "entry",
                dispatch.getEntry(),
                "upstream",
                upstream,
                "verdict",
                outcome.verdict(),
                "code",
                code,
                "bytes",
                report.byteCount());
        if (outcome.crashed()) {
            EventLog.warn(
                    Event.UPSTREAM_CRASHED,
                    "upstream",
                    upstream,
                    "request",
                    dispatch.getRequestId(),
                    "fingerprint",
                    dispatch.getFingerprint());
        }
    }

    void duplicate(Dispatch dispatch) {
        metrics.counter("sidecar.dispatch.duplicates").inc();
        EventLog.warn(
                Event.DISPATCH_DUPLICATE,
                "request",
                dispatch.getRequestId(),
                "attempt",
                dispatch.getAttempt(),
                "entry",
                dispatch.getEntry());
    }

    void preempted(Dispatch stopped, Dispatch by) {
        metrics.counter("sidecar.dispatch.preemptions").inc();
        EventLog.info(
                Event.PREEMPTION_DECISION,
                "upstream",
                upstream,
                "stopped",
                stopped.getRequestId(),
                "stopped_rank",
                stopped.getRank(),
                "for",
                by.getRequestId(),
                "rank",
                by.getRank());
    }

    private static Optional<String> nonEmpty(String value) {
        return value.isEmpty() ? Optional.empty() : Optional.of(value);
    }
}
