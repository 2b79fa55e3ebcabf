package org.masticcroft.service.http;

import jakarta.ws.rs.container.ContainerRequestContext;
import jakarta.ws.rs.container.ContainerResponseContext;
import jakarta.ws.rs.container.ContainerResponseFilter;
import java.util.Objects;
import org.masticcroft.kernel.lifecycle.Role;

/**
 * Closes each connection after its response while the role is not ready. Callers then reconnect to another instance,
 * instead of sending the next request on a connection that the shutdown is about to close.
 */
final class ConnectionCloser implements ContainerResponseFilter {
    private static final String CONNECTION = "Connection";
    private static final String CLOSE = "close";

    private final Role role;

    private ConnectionCloser(Role role) {
        this.role = role;
    }

    static ConnectionCloser of(Role role) {
        return new ConnectionCloser(Objects.requireNonNull(role, "role"));
    }

    @Override
    public void filter(ContainerRequestContext request, ContainerResponseContext response) {
        if (!role.ready()) {
            response.getHeaders().putSingle(CONNECTION, CLOSE);
        }
    }
}
