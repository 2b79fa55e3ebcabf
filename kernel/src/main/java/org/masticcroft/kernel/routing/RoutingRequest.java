package org.masticcroft.kernel.routing;

import java.util.Objects;
import java.util.Set;

/**
 * The properties of a request that an upstream chooser may use.
 *
 * @param requestId id of the request
 * @param prefixHash hash of the prompt prefix, equal for prompts that share a cached prefix; 0 if there is none
 * @param estimatedTokens expected cost in tokens
 * @param excluded names of upstreams that must not be chosen for this request
 */
public record RoutingRequest(String requestId, long prefixHash, int estimatedTokens, Set<String> excluded) {
    public RoutingRequest {
        Objects.requireNonNull(requestId, "requestId");
        excluded = Set.copyOf(excluded);
    }
}
