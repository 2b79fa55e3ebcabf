package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Optional;

/**
 * A plain service that entries route to.
 *
 * @param group upstream group, as the instance list names it
 * @param routes the calls that the service takes; the first match counts
 */
public record ServiceConfig(
        @JsonProperty(value = "group", required = true) String group,
        @JsonProperty(value = "routes", required = true) List<RouteConfig> routes) {
    public ServiceConfig {
        routes = routes == null ? List.of() : List.copyOf(routes);
    }

    /** Returns the first route that matches the call. */
    public Optional<RouteConfig> route(String method, String path) {
        return routes.stream().filter(route -> route.matches(method, path)).findFirst();
    }

    /**
     * One kind of call.
     *
     * @param method HTTP method in upper case
     * @param path path with a leading slash; a trailing {@code *} matches any rest
     * @param idempotent whether executing the call twice has the same effect as executing it once
     */
    public record RouteConfig(
            @JsonProperty(value = "method", required = true) String method,
            @JsonProperty(value = "path", required = true) String path,
            @JsonProperty("idempotent") boolean idempotent) {

        /** Returns whether a call belongs to this route. */
        public boolean matches(String callMethod, String callPath) {
            boolean samePath = path.endsWith("*")
                    ? callPath.startsWith(path.substring(0, path.length() - 1))
                    : callPath.equals(path);
            return samePath && method.equals(callMethod);
        }
    }
}
