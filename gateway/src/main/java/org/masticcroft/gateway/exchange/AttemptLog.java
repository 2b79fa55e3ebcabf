package org.masticcroft.gateway.exchange;

import java.time.Duration;
import org.masticcroft.gateway.dispatch.QueuedRequest.Choice;
import org.masticcroft.gateway.dispatch.Upstream;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.verdict.Verdict;

/** Writes the attempts of requests to the log. */
final class AttemptLog {
    private AttemptLog() {}

    /** Logs that a request is about to be sent to an upstream, with the inputs of the decision. */
    static void sent(ExchangeContext context, Exchange exchange, int attempt, Choice choice, long nowNanos) {
        Upstream upstream = choice.upstream();
        context.log()
                .write(
                        Event.ROUTING_DECISION,
                        "request",
                        exchange.id(),
                        "attempt",
                        attempt,
                        "upstream",
                        upstream.id(),
                        "candidates",
                        choice.candidates(),
                        "predicted_ms",
                        Math.round(choice.predictedMillis()),
                        "load",
                        choice.load(),
                        "report_age_ms",
                        upstream.reportAgeMillis(nowNanos).isPresent()
                                ? upstream.reportAgeMillis(nowNanos).getAsLong()
                                : "none",
                        "pace",
                        upstream.pace(nowNanos),
                        "weights",
                        upstream.servedVersion().isPresent()
                                ? upstream.servedVersion().getAsLong()
                                : "none",
                        "outdated_ms",
                        context.outdatedFor(upstream).map(Duration::toMillis).orElse(0L),
                        "waited_ms",
                        (nowNanos - exchange.arrivalNanos()) / 1_000_000,
                        "config",
                        context.configVersion());
    }

    /** Logs that an attempt at an upstream has failed, or has stalled. */
    static void failed(
            ExchangeContext context,
            Exchange exchange,
            int number,
            UpstreamAttempt attempt,
            Verdict verdict,
            String reason) {
        Upstream upstream = attempt.upstream();
        context.log()
                .write(
                        Event.ATTEMPT_FAILED,
                        "request",
                        exchange.id(),
                        "attempt",
                        number,
                        "upstream",
                        upstream.id(),
                        "verdict",
                        verdict,
                        "reason",
                        reason,
                        "send_ms",
                        attempt.timeToSend()
                                .map(Duration::toMillis)
                                .map(Object.class::cast)
                                .orElse("none"),
                        "age_ms",
                        attempt.age().toMillis(),
                        "outdated_ms",
                        context.outdatedFor(upstream).map(Duration::toMillis).orElse(0L),
                        "last_event",
                        exchange.lastEventId(),
                        "failure_share",
                        Math.round(100 * upstream.failureShare()) / 100.0);
    }
}
