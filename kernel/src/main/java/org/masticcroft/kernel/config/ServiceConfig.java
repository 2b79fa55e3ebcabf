package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Optional;

/**
 * A plain service that entries route to.
 *
 * @param group upstream group, as named in the instance list
 * @param routes the calls that the service accepts; the first matching route applies
 */
public record ServiceConfig(
        @JsonProperty(value = "group", required = true) String group,
        @JsonProperty(value = "routes", required = true) List<RouteConfig> routes) {
    public ServiceConfig {
        routes = routes == null ? List.of() : List.copyOf(routes);
    }

    /** Returns the first route that matches the call, if any. */
    public Optional<RouteConfig> route(String method, String path) {
        return routes.stream().filter(route -> route.matches(method, path)).findFirst();
    }

    /**
     * A kind of call that the service accepts.
     *
     * @param method HTTP method in upper case
     * @param path path with a leading slash; a trailing {@code *} matches any suffix
     * @param idempotent whether executing the call twice has the same effect as executing it once
     */
    public record RouteConfig(
            @JsonProperty(value = "method", required = true) String method,
            @JsonProperty(value = "path", required = true) String path,
            @JsonProperty("idempotent") boolean idempotent) {

        /** Returns whether a call matches this route. */
        public boolean matches(String callMethod, String callPath) {
            boolean pathMatches = path.endsWith("*")
                    ? callPath.startsWith(path.substring(0, path.length() - 1))
                    : callPath.equals(path);
            return pathMatches && method.equals(callMethod);
        }
    }
}
