package org.masticcroft.gateway.node;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.gateway.config.CallerBudgets;
import org.masticcroft.gateway.http.Address;

/**
 * Settings of a process.
 *
 * @param name name of the process, used in logs and in the account
 * @param ip IP address of the machine
 * @param zone data centre of the machine
 * @param regions region by data centre
 * @param callers address at which an entry accepts requests; empty for a sidecar
 * @param readiness address of the readiness check; empty for a sidecar
 * @param metrics address at which metrics are exposed; empty if they are not
 * @param peerPort port for traffic between the processes of the fleet, the same on all machines
 * @param linkMbitPerSecond bandwidth of the machine's network link, in megabits per second
 * @param store address of the platform's store
 * @param engine address of the engine beside a sidecar; empty for an entry
 * @param bounds time limits and shares that the operators set
 * @param callerBudgets budgets for what callers make the process hold
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
        Bounds bounds,
        CallerBudgets callerBudgets) {
    /** Requires the mandatory values and copies the map. */
    public NodeSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(ip, "ip");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(bounds, "bounds");
        Objects.requireNonNull(callerBudgets, "callerBudgets");
        regions = Map.copyOf(regions);
    }

    /** Returns the region of a data centre, or the data centre itself if its region is unknown. */
    public String regionOf(String dataCentre) {
        return regions.getOrDefault(dataCentre, dataCentre);
    }

    /** Returns the address at which the processes of the fleet reach this one. */
    public Address peerAddress() {
        return new Address(ip, peerPort);
    }

    /**
     * Time limits and shares that the operators set.
     *
     * @param revocation time after which a removed key must no longer be accepted
     * @param versionChange time after the naming of a version within which all requests must be served with it
     * @param grace time from the request to stop until the platform ends the process
     * @param retryShare largest ratio of retries to requests in a window
     * @param retryWindow length of the window
     * @param coldOver ratio of the requests that a cold upstream may receive in a second to those that it tolerates
     * @param coldSlack requests that a cold upstream may receive in a second beyond that
     * @param hedgingShare largest ratio of hedges to requests in the same window; 0 disables hedging
     */
    public record Bounds(
            Duration revocation,
            Duration versionChange,
            Duration grace,
            double retryShare,
            Duration retryWindow,
            double coldOver,
            double coldSlack,
            double hedgingShare) {
        /**
         * Time before the bound on version changes at which engines of an older version get no new requests, because a
         * request may still wait in the queue of an engine.
         */
        private static final Duration VERSION_MARGIN = Duration.ofMillis(900);

        /** Time for which a process that stops stores its last account records and writes its log. */
        private static final Duration EXIT_TIME = Duration.ofMillis(1300);

        /** Fraction of the grace period at whose end open requests may be ended. */
        private static final int GRACE_END_DIVISOR = 6;

        /** Creates bounds without hedging under which a cold upstream never receives more than it tolerates. */
        public Bounds(
                Duration revocation, Duration versionChange, Duration grace, double retryShare, Duration retryWindow) {
            this(revocation, versionChange, grace, retryShare, retryWindow, 1, 0, 0);
        }

        /** Returns the time from the request to stop until the requests that are still open are ended. */
        public Duration openRequestsEnd() {
            Duration graceEnd = grace.dividedBy(GRACE_END_DIVISOR);
            return grace.minus(graceEnd.compareTo(EXIT_TIME) < 0 ? graceEnd : EXIT_TIME);
        }

        /**
         * Returns the time after the naming of a version for which entries send a request to an engine of an older one.
         *
         * @param untilBegin time from the send until the engine begins the request
         */
        public Duration olderVersionSends(Duration untilBegin) {
            Duration sends = versionChange.minus(untilBegin);
            return sends.compareTo(olderVersionSends()) < 0 ? sends : olderVersionSends();
        }

        /** Returns the longest time after the naming of a version for which entries send to engines of an older one. */
        public Duration olderVersionSends() {
            return versionChange.minus(VERSION_MARGIN);
        }
    }
}
