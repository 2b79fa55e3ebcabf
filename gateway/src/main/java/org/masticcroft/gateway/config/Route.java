package org.masticcroft.gateway.config;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * A route: which requests it matches, where they may run and how often.
 *
 * @param name name of the route
 * @param host host name that requests carry
 * @param pathPrefix prefix of their paths
 * @param kind how often a request may run
 * @param timeout longest time until the final answer
 * @param target time within which the first byte of an answer is on time
 * @param callerTimeout time without a byte of the answer after which callers leave
 * @param rank rank of the requests; 0 is served first
 * @param services services that may run the requests
 * @param maxUpstreams largest number of upstreams that may run one request
 * @param anonymous whether requests need no key
 * @param resumable whether a broken stream may continue on another upstream
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
        boolean resumable) {
    /** Rejects missing values and copies the list. */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(callerTimeout, "callerTimeout");
        services = List.copyOf(services);
    }

    /** Returns whether a request may be sent again after it may have run. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
    }

    /**
     * Picks a service by weight.
     *
     * @param point position in the sum of the weights, from 0 inclusive to 1 exclusive
     */
    public String pickService(double point) {
        double sum = services.stream().mapToDouble(ServiceShare::weight).sum();
        double rest = point * sum;
        for (ServiceShare share : services) {
            rest -= share.weight();
            if (rest < 0) {
                return share.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
