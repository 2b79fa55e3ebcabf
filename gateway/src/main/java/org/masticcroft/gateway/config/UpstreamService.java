package org.masticcroft.gateway.config;

import java.util.Objects;
import java.util.Optional;
import org.masticcroft.gateway.http.Address;

/**
 * A service that upstreams of the fleet provide.
 *
 * @param name name of the service
 * @param profile cost model of the upstreams, if they are engines
 * @param origin address of the origin of weights, if the service is the origin
 * @param originZone data centre of the origin; empty if the service is not the origin
 * @param maxConnections connections that an upstream accepts from all callers; 0 if unknown
 * @param cold what a cold upstream tolerates
 */
public record UpstreamService(
        String name,
        Optional<EngineProfile> profile,
        Optional<Address> origin,
        String originZone,
        int maxConnections,
        ColdLimits cold) {
    /** Rejects missing values. */
    public UpstreamService {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(profile, "profile");
        Objects.requireNonNull(origin, "origin");
        Objects.requireNonNull(originZone, "originZone");
        Objects.requireNonNull(cold, "cold");
    }
}
