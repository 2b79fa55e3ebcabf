package org.masticcroft.gateway.config;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A route: which requests it matches, which services may run them, and how often they may run.
 *
 * @param name name of the route
 * @param host host name of the requests
 * @param pathPrefix prefix of the paths of the requests
 * @param kind whether a request may run more than once, and how its response is delivered
 * @param timeout maximum time from the arrival of a request to the end of its response
 * @param target latency up to which the first byte of a response is on time
 * @param callerTimeout time without a byte of the response after which callers disconnect
 * @param rank rank of the requests; 0 is served first
 * @param services services that share the requests
 * @param maxUpstreams maximum number of upstreams that may run one request
 * @param anonymous whether requests are accepted without an API key
 * @param resumable whether a stream that broke off may be resumed by another upstream
 * @param allowedRegions regions in which the requests may be served
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        Duration timeout,
        Duration target,
        Duration callerTimeout,
        int rank,
        List<ServiceShare> services,
        int maxUpstreams,
        boolean anonymous,
        boolean resumable,
        AllowedRegions allowedRegions) {
    /** Checks that no value is missing and copies the list. */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(callerTimeout, "callerTimeout");
        Objects.requireNonNull(allowedRegions, "allowedRegions");
        services = List.copyOf(services);
    }

    /** Returns the time after the arrival of a request at which it ends at the latest. */
    public Duration timeLimit(Optional<Duration> callerDeadline) {
        return callerDeadline.filter(stated -> stated.compareTo(timeout) < 0).orElse(timeout);
    }

    /** Returns whether a request that may have run already may be sent again. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
    }

    /**
     * Picks a service by weight.
     *
     * @param fraction random position in the cumulative weights, from 0 inclusive to 1 exclusive
     */
    public String pickService(double fraction) {
        double sum = services.stream().mapToDouble(ServiceShare::weight).sum();
        double remaining = fraction * sum;
        for (ServiceShare share : services) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
