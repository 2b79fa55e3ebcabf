package org.masticcroft.gateway.hedge;

import java.util.Objects;

/**
 * The requests whose times to the first byte are compared: those of one route that one service runs.
 *
 * @param route name of the route
 * @param service name of the service
 */
public record HedgeKey(String route, String service) {
    public HedgeKey {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(service, "service");
    }
}
