package org.masticcroft.gateway.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.masticcroft.gateway.account.AccountedRequest;
import org.masticcroft.gateway.account.RequestAccount;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.config.GatewayConfig;
import org.masticcroft.gateway.exchange.Exchange;
import org.masticcroft.gateway.exchange.ExchangeOutcome;
import org.masticcroft.gateway.fleet.StoreFreshness;
import org.masticcroft.gateway.http.CallerRequest;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.metrics.RequestMetrics;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.kernel.verdict.Verdict;

/** Records how requests end: in the log, the metrics and the account. */
final class RequestRecords {
    private final TimeSource time;
    private final DecisionLog log;
    private final RequestMetrics metrics;
    private final RequestAccount account;
    private final FleetState fleet;
    private final StoreFreshness contact;

    RequestRecords(
            TimeSource time,
            DecisionLog log,
            RequestMetrics metrics,
            RequestAccount account,
            FleetState fleet,
            StoreFreshness contact) {
        this.time = time;
        this.log = log;
        this.metrics = metrics;
        this.account = account;
        this.fleet = fleet;
        this.contact = contact;
    }

    void firstByte(Exchange exchange) {
        metrics.firstByte(
                exchange.route().kind(), time.since(exchange.arrivalNanos()).toMillis());
    }

    void sendEnded(String upstream, String reason) {
        metrics.sendEnded(upstream, reason);
    }

    /** Records a request that was matched to a route. */
    void ended(Exchange exchange, ExchangeOutcome end) {
        Duration took = time.since(exchange.arrivalNanos());
        metrics.ended(exchange.route().kind(), end.status(), end.verdict(), end.reason(), took.toMillis());
        account.ended(new AccountedRequest(
                exchange.id(),
                exchange.customer(),
                exchange.rank().text(),
                exchange.service(),
                fleet.profile(exchange.service()).map(EngineProfile::model),
                took,
                configVersion(),
                contact.age(),
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
                took.toMillis(),
                "config",
                configVersion(),
                "config_age_ms",
                contact.age().toMillis());
    }

    /** Records a request that was refused before it was matched to a route and a customer. */
    void refused(CallerRequest request, int status, String reason) {
        metrics.refused(status, reason);
        account.ended(new AccountedRequest(
                request.attemptId(),
                "",
                "",
                "",
                Optional.empty(),
                Duration.ZERO,
                configVersion(),
                contact.age(),
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
                contact.age().toMillis());
    }

    private long configVersion() {
        return fleet.config().map(GatewayConfig::version).orElse(0L);
    }
}
