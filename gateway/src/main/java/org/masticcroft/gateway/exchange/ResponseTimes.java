package org.masticcroft.gateway.exchange;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.masticcroft.gateway.config.Route;
import org.masticcroft.gateway.http.CallerRequest;

/**
 * Estimates how long a request will take from its arrival to the end of its response, from the recent responses of its
 * route: the time until the response begins, and a time for each token that it may have.
 */
public final class ResponseTimes {
    /** Weight of the newest response. */
    private static final double NEWEST_WEIGHT = 0.1;

    private final Map<String, RouteTimes> byRoute = new HashMap<>();

    private ResponseTimes() {}

    /** Creates an estimate without any recorded response. */
    public static ResponseTimes empty() {
        return new ResponseTimes();
    }

    /**
     * Records a complete response.
     *
     * @param untilBegin time from the arrival of the request to the first byte of its response
     * @param untilEnd time from the arrival of the request to the end of its response
     */
    public void record(Route route, CallerRequest request, Duration untilBegin, Duration untilEnd) {
        RouteTimes newest =
                new RouteTimes(untilBegin.toNanos(), untilEnd.minus(untilBegin).toNanos(), tokens(request));
        byRoute.merge(route.name(), newest, RouteTimes::mixedWith);
    }

    /** Returns the expected time from the arrival of a request to the end of its response; zero if unknown. */
    public Duration expected(Route route, CallerRequest request) {
        RouteTimes times = byRoute.get(route.name());
        return times == null ? Duration.ZERO : times.expected(tokens(request));
    }

    private static int tokens(CallerRequest request) {
        return request.generation()
                .map(CallerRequest.Generation::maxOutputTokens)
                .orElse(0);
    }

    /**
     * Weighted means of the responses of a route.
     *
     * @param beginNanos time until the first byte
     * @param bodyNanos time from the first byte to the end
     * @param tokens tokens that the response may have
     */
    private record RouteTimes(double beginNanos, double bodyNanos, double tokens) {
        RouteTimes mixedWith(RouteTimes newest) {
            return new RouteTimes(
                    mix(beginNanos, newest.beginNanos), mix(bodyNanos, newest.bodyNanos), mix(tokens, newest.tokens));
        }

        private static double mix(double mean, double newest) {
            return mean + NEWEST_WEIGHT * (newest - mean);
        }

        Duration expected(int requestTokens) {
            double body = tokens == 0 ? bodyNanos : bodyNanos * requestTokens / tokens;
            return Duration.ofNanos(Math.round(beginNanos + body));
        }
    }
}
