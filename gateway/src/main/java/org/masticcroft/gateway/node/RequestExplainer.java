package org.masticcroft.gateway.node;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import org.masticcroft.gateway.config.Customer;
import org.masticcroft.gateway.config.GatewayConfig;
import org.masticcroft.gateway.config.Route;
import org.masticcroft.gateway.config.ServiceShare;
import org.masticcroft.gateway.dispatch.QueueForecast;
import org.masticcroft.gateway.dispatch.QueuedRequest;
import org.masticcroft.gateway.dispatch.UpstreamAssessment;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Explains where a request would be sent now, and why. It changes no state and sends nothing. A line with the decision
 * of the queue for each service of the route is followed by a line for each upstream of the service. What depends on
 * the content of a prompt, such as a quarantine, is not evaluated.
 */
final class RequestExplainer {
    private final TimeSource time;
    private final FleetState fleet;
    private final ConfigValidity configValidity;
    private final BiFunction<QueuedRequest, String, QueueForecast> forecasts;

    /**
     * Creates an explainer.
     *
     * @param forecasts returns what the queue of a service would do with a request
     */
    RequestExplainer(
            TimeSource time,
            FleetState fleet,
            ConfigValidity configValidity,
            BiFunction<QueuedRequest, String, QueueForecast> forecasts) {
        this.time = time;
        this.fleet = fleet;
        this.configValidity = configValidity;
        this.forecasts = forecasts;
    }

    /**
     * Explains a request.
     *
     * @param query URI with the parameters {@code host} and {@code path}, and optionally {@code customer} and
     *     {@code prompt-tokens}
     * @return the explanation; empty if a parameter is missing or malformed
     */
    Optional<String> explain(String query) {
        Map<String, List<String>> parameters;
        int promptTokens;
        try {
            parameters = new QueryStringDecoder(query).parameters();
            promptTokens = Integer.parseInt(first(parameters, "prompt-tokens").orElse("0"));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
        Optional<String> host = first(parameters, "host");
        Optional<String> path = first(parameters, "path");
        if (host.isEmpty() || path.isEmpty() || promptTokens < 0) {
            return Optional.empty();
        }
        return Optional.of(
                explain(host.get(), path.get(), first(parameters, "customer").orElse(""), promptTokens));
    }

    private static Optional<String> first(Map<String, List<String>> parameters, String name) {
        return parameters.getOrDefault(name, List.of()).stream().findFirst();
    }

    private String explain(String host, String path, String customerName, int promptTokens) {
        if (!fleet.complete()) {
            return refused("no-configuration");
        }
        GatewayConfig config = fleet.config().orElseThrow();
        Optional<Route> route = config.route(host, path);
        if (route.isEmpty()) {
            return refused("no-route");
        }
        boolean needsKey = config.requiresKeys() && !route.get().anonymous();
        Optional<Customer> customer = needsKey ? config.customerNamed(customerName) : Optional.empty();
        if (needsKey && !configValidity.validForKeys()) {
            return refused("configuration-unconfirmed");
        }
        if (needsKey && customer.isEmpty()) {
            return refused("unknown-customer");
        }
        ProbeRequest probe = new ProbeRequest(route.get(), customer, promptTokens, time.nanoTime());
        StringBuilder text = new StringBuilder();
        for (ServiceShare share : route.get().services()) {
            appendService(text, probe, share, forecasts.apply(probe, share.service()));
        }
        return text.toString();
    }

    private static String refused(String reason) {
        return "decision=refused reason=" + reason + "\n";
    }

    private static void appendService(
            StringBuilder text, ProbeRequest probe, ServiceShare share, QueueForecast forecast) {
        text.append(String.format(
                Locale.ROOT,
                "route=%s service=%s weight=%s rank=%s decision=%s%s upstream=%s wait_ms=%d waiting=%d%n",
                probe.route().name(),
                share.service(),
                share.weight(),
                probe.rank().text(),
                forecast.decision(),
                forecast.reason().isEmpty() ? "" : " reason=" + forecast.reason(),
                forecast.choice().map(choice -> choice.upstream().id()).orElse("none"),
                forecast.expectedWait().toMillis(),
                forecast.waiting()));
        forecast.upstreams().forEach(assessment -> appendUpstream(text, assessment));
    }

    private static void appendUpstream(StringBuilder text, UpstreamAssessment assessment) {
        text.append(String.format(
                Locale.ROOT,
                "  upstream=%s zone=%s decision=%s predicted_ms=%d load=%d slots=%d failure_share=%.2f%n",
                assessment.upstream().id(),
                assessment.upstream().listing().zone(),
                assessment.decision(),
                Math.round(assessment.predictedMillis()),
                assessment.load(),
                assessment.upstream().listing().slots(),
                assessment.upstream().failureShare()));
    }
}
