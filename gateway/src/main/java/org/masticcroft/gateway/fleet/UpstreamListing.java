package org.masticcroft.gateway.fleet;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalLong;
import org.masticcroft.gateway.http.Address;

/**
 * An entry of the list of upstreams.
 *
 * @param id id of the upstream; most restarts change it
 * @param service name of the service that it offers
 * @param address address at which it listens
 * @param zone data centre of the upstream
 * @param slots maximum number of requests that it processes at a time
 * @param leaving whether it is leaving and takes no new requests
 * @param startMillis start of the process, in milliseconds of Unix time; 0 if unknown
 * @param sequence number of the listing, which increases with each one that a process of the upstream writes
 * @param loadedVersion version of the loaded weights; empty if none is loaded or for a plain service
 * @param coldRemaining time from the receipt of the entry for which the upstream is cold; zero if it is not
 */
public record UpstreamListing(
        String id,
        String service,
        Address address,
        String zone,
        int slots,
        boolean leaving,
        long startMillis,
        long sequence,
        OptionalLong loadedVersion,
        Duration coldRemaining) {
    /** Rejects missing values. */
    public UpstreamListing {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(loadedVersion, "loadedVersion");
        Objects.requireNonNull(coldRemaining, "coldRemaining");
    }

    /** Creates the entry of an upstream that is not cold. */
    public UpstreamListing(
            String id,
            String service,
            Address address,
            String zone,
            int slots,
            boolean leaving,
            long startMillis,
            long sequence,
            OptionalLong loadedVersion) {
        this(id, service, address, zone, slots, leaving, startMillis, sequence, loadedVersion, Duration.ZERO);
    }
}
