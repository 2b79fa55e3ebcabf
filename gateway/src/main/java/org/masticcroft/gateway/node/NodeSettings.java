package org.masticcroft.gateway.node;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.gateway.http.Address;

/**
 * Settings of a process.
 *
 * @param name name of the process, for logs
 * @param ip own IP address
 * @param zone own data centre
 * @param regions region of each data centre
 * @param callers where callers connect; empty for a sidecar
 * @param readiness where readiness is asked for; empty for a sidecar
 * @param metrics where metrics are fetched; empty if they are not exposed
 * @param peerPort port of the processes of the fleet among themselves, the same on all machines
 * @param linkMbitPerSecond rate of the machine's link, in megabits per second
 * @param store address of the platform's store
 * @param engine address of the engine beside a sidecar; empty for an entry
 * @param bounds times and shares that the operators state
 */
public record NodeSettings(
        String name,
        String ip,
        String zone,
        Map<String, String> regions,
        Optional<Address> callers,
        Optional<Address> readiness,
        Optional<Address> metrics,
        int peerPort,
        double linkMbitPerSecond,
        Address store,
        Optional<Address> engine,
        Bounds bounds) {
    /** Rejects missing values and copies the map. */
    public NodeSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(ip, "ip");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(bounds, "bounds");
        regions = Map.copyOf(regions);
    }

    /** Returns the region of a data centre; the data centre itself if it is not known. */
    public String regionOf(String dataCentre) {
        return regions.getOrDefault(dataCentre, dataCentre);
    }

    /** Returns the address at which the processes of the fleet reach this one. */
    public Address peerAddress() {
        return new Address(ip, peerPort);
    }

    /**
     * Times and shares that the operators state.
     *
     * @param revocation time within which a removed key must not be served any more
     * @param versionChange time within which new weights must serve
     *
     * @param grace time between the request to stop and the end of the process
     * @param retryShare retries for each request in a window
     * @param retryWindow length of that window
     */
    public record Bounds(
            Duration revocation, Duration versionChange, Duration grace, double retryShare, Duration retryWindow) {}
}
