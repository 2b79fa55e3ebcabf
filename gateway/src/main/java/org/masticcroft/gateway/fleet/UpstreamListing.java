package org.masticcroft.gateway.fleet;

import java.util.Objects;
import java.util.OptionalLong;
import org.masticcroft.gateway.http.Address;

/**
 * What the list of upstreams states about one upstream.
 *
 * @param id id of the upstream, new with most starts
 * @param service name of the service that it offers
 * @param address where it listens
 * @param zone data centre
 * @param slots requests that it processes at a time
 * @param leaving whether it takes no new work
 * @param startMillis start of the process, in milliseconds of Unix time; 0 if not stated
 * @param loadedVersion version of the weights that it has loaded; empty for none or for a plain service
 */
public record UpstreamListing(
        String id,
        String service,
        Address address,
        String zone,
        int slots,
        boolean leaving,
        long startMillis,
        OptionalLong loadedVersion) {
    /** Rejects missing values. */
    public UpstreamListing {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(loadedVersion, "loadedVersion");
    }
}
