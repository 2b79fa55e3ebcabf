package org.masticcroft.gateway.node;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import org.masticcroft.gateway.config.Customer;
import org.masticcroft.gateway.config.GatewayConfig;
import org.masticcroft.gateway.config.Route;
import org.masticcroft.gateway.dispatch.CrashSuspects;
import org.masticcroft.gateway.dispatch.PromptPartSuspects;
import org.masticcroft.gateway.exchange.Exchange;
import org.masticcroft.gateway.exchange.ExchangeContext;
import org.masticcroft.gateway.exchange.ResponseTimes;
import org.masticcroft.gateway.exchange.RetryAfter;
import org.masticcroft.gateway.http.CallerRequest;
import org.masticcroft.gateway.http.ResponseWriter;

/** Checks each request against the quarantine, the routes, a planned stop and the keys before it is routed. */
final class RequestFilter {
    /** Status of requests that may succeed if they are sent again. */
    private static final int RETRYABLE_STATUS = 503;

    /**
     * Time after which a caller should go to another entry, which can serve the request at once. A longer pause made
     * the responses late that other entries gave to callers of those that the store turned away.
     */
    private static final Duration OTHER_ENTRY_RETRY_AFTER = Duration.ofMillis(30);

    private final ExchangeContext context;
    private final FleetState fleet;
    private final ConfigValidity configValidity;
    private final GracefulStop stop;
    private final CrashSuspects suspects;
    private final PromptPartSuspects promptParts;
    private final ResponseTimes responseTimes;

    RequestFilter(
            ExchangeContext context,
            FleetState fleet,
            ConfigValidity configValidity,
            GracefulStop stop,
            CrashSuspects suspects,
            PromptPartSuspects promptParts,
            ResponseTimes responseTimes) {
        this.context = context;
        this.fleet = fleet;
        this.configValidity = configValidity;
        this.stop = stop;
        this.suspects = suspects;
        this.promptParts = promptParts;
        this.responseTimes = responseTimes;
    }

    /** Returns the time after its arrival for which a request may wait for its response; empty without a route. */
    Optional<Duration> timeLimit(CallerRequest request) {
        return fleet.config()
                .flatMap(config -> config.route(request.host(), request.path()))
                .map(route -> route.timeLimit(request.deadline()));
    }

    /** Starts the exchange of a request that passes all checks and refuses any other. */
    void handle(CallerRequest request, ResponseWriter writer) {
        if (!fleet.complete()) {
            refuse(request, writer, RETRYABLE_STATUS, "no-configuration");
            return;
        }
        if (!suspects.isEmpty()
                && suspects.quarantined(request.fingerprint(), context.time().nanoTime())) {
            refuse(request, writer, RETRYABLE_STATUS, "quarantined");
            return;
        }
        if (promptParts.refuses(request.sharedParts(), context.time().nanoTime())) {
            refuse(request, writer, RETRYABLE_STATUS, "quarantined-part");
            return;
        }
        GatewayConfig config = fleet.config().orElseThrow();
        boolean confirmed = configValidity.validForKeys();
        Optional<Route> route = config.route(request.host(), request.path());
        if (route.isEmpty()) {
            // While the configuration is unconfirmed, a newer one may have the route.
            refuse(request, writer, confirmed ? 404 : RETRYABLE_STATUS, "no-route");
            return;
        }
        if (!stop.admits(route.get().timeLimit(request.deadline()), responseTimes.expected(route.get(), request))) {
            refuse(
                    request,
                    writer,
                    RETRYABLE_STATUS,
                    "stopping",
                    longer(context.retryAfter(), stop.untilDeregistered()));
            return;
        }
        if (!config.requiresKeys() || route.get().anonymous()) {
            Exchange.start(context, request, route.get(), Optional.empty(), writer);
            return;
        }
        if (!confirmed) {
            refuse(request, writer, RETRYABLE_STATUS, "configuration-unconfirmed", OTHER_ENTRY_RETRY_AFTER);
            return;
        }
        Optional<Customer> customer = request.key().flatMap(config::customer);
        if (customer.isEmpty()) {
            refuse(request, writer, 401, "unknown-key");
            return;
        }
        Exchange.start(context, request, route.get(), customer, writer);
    }

    private void refuse(CallerRequest request, ResponseWriter writer, int status, String reason) {
        refuse(request, writer, status, reason, context.retryAfter());
    }

    private void refuse(CallerRequest request, ResponseWriter writer, int status, String reason, Duration retryAfter) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (status == RETRYABLE_STATUS) {
            headers.set(HttpHeaderNames.RETRY_AFTER, RetryAfter.format(retryAfter));
            // Another entry may have newer state; the next request of the caller reaches it only on a new connection.
            headers.set(HttpHeaderNames.CONNECTION, "close");
        }
        writer.writeFull(status, headers, Unpooled.EMPTY_BUFFER);
        context.onRefused(request, status, reason);
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
