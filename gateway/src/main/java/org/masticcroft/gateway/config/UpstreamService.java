package org.masticcroft.gateway.config;

import java.util.Objects;
import java.util.Optional;
import org.masticcroft.gateway.http.Address;

/**
 * A service that upstreams of the fleet offer.
 *
 * @param name name of the service
 *
 * @param profile cost model, if the upstreams are model engines
 * @param origin address of the origin of weights, if the service is one
 * @param originZone data centre of the origin; empty if the service is none
 */
public record UpstreamService(
        String name, Optional<EngineProfile> profile, Optional<Address> origin, String originZone) {
    public UpstreamService {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(profile, "profile");
        Objects.requireNonNull(origin, "origin");
        Objects.requireNonNull(originZone, "originZone");
    }
}
