package org.masticcroft.gateway.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.masticcroft.gateway.account.AccountRecorder;
import org.masticcroft.gateway.account.FinishedRequest;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.config.GatewayConfig;
import org.masticcroft.gateway.exchange.Exchange;
import org.masticcroft.gateway.exchange.ExchangeOutcome;
import org.masticcroft.gateway.exchange.HedgeOutcome;
import org.masticcroft.gateway.fleet.StoreFreshness;
import org.masticcroft.gateway.http.CallerRequest;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.metrics.RequestMetrics;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.kernel.verdict.Verdict;

/** Records the outcome of each request in the log, the metrics and the account. */
final class RequestRecorder {
    private final TimeSource time;
    private final DecisionLog log;
    private final RequestMetrics metrics;
    private final AccountRecorder account;
    private final FleetState fleet;
    private final StoreFreshness storeFreshness;

    RequestRecorder(
            TimeSource time,
            DecisionLog log,
            RequestMetrics metrics,
            AccountRecorder account,
            FleetState fleet,
            StoreFreshness storeFreshness) {
        this.time = time;
        this.log = log;
        this.metrics = metrics;
        this.account = account;
        this.fleet = fleet;
        this.storeFreshness = storeFreshness;
    }

    /** Records the first byte of a response. */
    void firstByte(Exchange exchange) {
        metrics.firstByte(
                exchange.route().kind(), time.since(exchange.arrivalNanos()).toMillis());
    }

    /** Records the end of an attempt at an upstream; an empty reason stands for a complete response. */
    void attemptEnded(String upstream, String reason) {
        metrics.attemptEnded(upstream, reason);
    }

    /** Records what became of a hedge. */
    void hedge(Exchange exchange, HedgeOutcome outcome) {
        metrics.hedge(exchange.service(), outcome.label());
    }

    /** Records the end of a request that was matched to a route. */
    void ended(Exchange exchange, ExchangeOutcome end) {
        Duration duration = time.since(exchange.arrivalNanos());
        metrics.ended(exchange.route().kind(), end.status(), end.verdict(), end.reason(), duration.toMillis());
        account.recordRequest(new FinishedRequest(
                exchange.id(),
                exchange.customer(),
                exchange.rank().text(),
                exchange.service(),
                fleet.profile(exchange.service()).map(EngineProfile::model),
                duration,
                configVersion(),
                storeFreshness.age(),
                end.status(),
                end.verdict(),
                end.reason(),
                exchange.request().body(),
                end.answerDigest(),
                end.attempts()));
        log.write(
                Event.REQUEST_FINISHED,
                "request",
                exchange.id(),
                "route",
                exchange.route().name(),
                "customer",
                exchange.customer(),
                "status",
                end.status(),
                "verdict",
                end.verdict(),
                "reason",
                end.reason(),
                "upstream",
                end.upstream(),
                "sends",
                end.attempts().size(),
                "ms",
                duration.toMillis(),
                "first_byte_ms",
                exchange.timeToFirstByte().toMillis(),
                "config",
                configVersion(),
                "config_age_ms",
                storeFreshness.age().toMillis());
    }

    /** Records a request that was refused before it was matched to a route and a customer. */
    void refused(CallerRequest request, int status, String reason) {
        metrics.refused(status, reason);
        account.recordRequest(new FinishedRequest(
                request.attemptId(),
                "",
                "",
                "",
                Optional.empty(),
                Duration.ZERO,
                configVersion(),
                storeFreshness.age(),
                status,
                Verdict.NOT_RUN,
                reason,
                request.body(),
                Optional.empty(),
                List.of()));
        log.write(
                Event.REQUEST_REFUSED,
                "request",
                request.attemptId(),
                "status",
                status,
                "reason",
                reason,
                "path",
                request.path(),
                "config",
                configVersion(),
                "config_age_ms",
                storeFreshness.age().toMillis());
    }

    private long configVersion() {
        return fleet.config().map(GatewayConfig::version).orElse(0L);
    }
}
