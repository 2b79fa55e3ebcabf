package org.masticcroft.gateway.config;

import java.util.Objects;

/**
 * The share of a route's requests that goes to one service.
 *
 * @param service name of the service
 * @param weight share relative to the weights of the other services of the route; not negative
 */
public record ServiceShare(String service, double weight) {
    public ServiceShare {
        Objects.requireNonNull(service, "service");
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight of service " + service + " is negative: " + weight);
        }
    }
}
