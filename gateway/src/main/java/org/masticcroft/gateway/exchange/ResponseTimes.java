package org.masticcroft.gateway.exchange;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.masticcroft.gateway.config.Route;
import org.masticcroft.gateway.http.CallerRequest;

/**
 * Estimates how long a request will take from its arrival to the end of its response, from the recent responses of its
 * route. The time of a generation grows with the tokens that it may produce.
 */
public final class ResponseTimes {
    /** Weight of the newest response in the mean of a route. */
    private static final double NEWEST_WEIGHT = 0.1;

    private final Map<String, Double> meanNanosPerUnit = new HashMap<>();

    private ResponseTimes() {}

    /** Creates an estimate without any recorded response. */
    public static ResponseTimes empty() {
        return new ResponseTimes();
    }

    /**
     * Records a complete response.
     *
     * @param time time from the arrival of the request to the end of its response
     */
    public void record(Route route, CallerRequest request, Duration time) {
        double nanosPerUnit = (double) time.toNanos() / units(request);
        meanNanosPerUnit.merge(route.name(), nanosPerUnit, (mean, newest) -> mean + NEWEST_WEIGHT * (newest - mean));
    }

    /** Returns the expected time from the arrival of a request to the end of its response; zero if unknown. */
    public Duration expected(Route route, CallerRequest request) {
        return Duration.ofNanos(Math.round(meanNanosPerUnit.getOrDefault(route.name(), 0.0) * units(request)));
    }

    /** Returns the tokens that a response may have, or 1 for a response whose length is unknown. */
    private static int units(CallerRequest request) {
        return request.generation()
                .map(generation -> Math.max(1, generation.maxOutputTokens()))
                .orElse(1);
    }
}
