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

/** Writes the audit record, the log events and the metrics of each dispatch to an upstream. */
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

    /** Creates a recorder for the upstream with this name. */
    public static DispatchRecorder of(String upstream, AccountWriter account, TimeSource time, MetricRegistry metrics) {
        return new DispatchRecorder(
                Objects.requireNonNull(upstream, "upstream"),
                Objects.requireNonNull(account, "account"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    void recordEnd(Dispatch dispatch, Instant arrival, Outcome outcome) {
        Instant end = time.now();
        Outcome.ResponseSummary response = outcome.response();
        String code = outcome.code().map(Enum::name).orElse("");
        account.write(new DispatchRecord(
                dispatch.getRequestId(),
                dispatch.getAttempt(),
                dispatch.getEntry(),
                upstream,
                response.sentAt().orElse(arrival),
                end,
                outcome.verdict(),
                outcome.code().map(Enum::name),
                nonEmpty(response.weightsDigest()),
                nonEmpty(response.incarnation()),
                Sha256.hex(dispatch.getBody().toByteArray()),
                response.sha256().length == 0
                        ? Optional.empty()
                        : Optional.of(HexFormat.of().formatHex(response.sha256()))));
        metrics.counter(MetricRegistry.name(
                        "sidecar.dispatch", outcome.verdict().name(), code))
                .inc();
        metrics.timer("sidecar.dispatch.duration")
                .update(end.toEpochMilli() - arrival.toEpochMilli(), TimeUnit.MILLISECONDS);
        EventLog.info(
                response.sentAt().isPresent() ? Event.DISPATCH_FINISHED : Event.DISPATCH_REFUSED,
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
                response.byteCount());
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

    void recordDuplicate(Dispatch dispatch) {
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

    void recordPreemption(Dispatch victim, Dispatch preemptor) {
        metrics.counter("sidecar.dispatch.preemptions").inc();
        EventLog.info(
                Event.PREEMPTION_DECISION,
                "upstream",
                upstream,
                "stopped",
                victim.getRequestId(),
                "stopped_rank",
                victim.getRank(),
                "for",
                preemptor.getRequestId(),
                "rank",
                preemptor.getRank());
    }

    private static Optional<String> nonEmpty(String value) {
        return value.isEmpty() ? Optional.empty() : Optional.of(value);
    }
}
