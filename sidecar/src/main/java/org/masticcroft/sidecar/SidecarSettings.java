package org.masticcroft.sidecar;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.masticcroft.ports.instance.Instance;

/**
 * Settings of a sidecar.
 *
 * @param identity ids and location of this sidecar
 * @param upstream the upstream beside it
 * @param network addresses and bandwidth limits
 * @param limits bounds on work in progress
 * @param logRetention time for which the log retains records
 */
public record SidecarSettings(
        Identity identity, Upstream upstream, Network network, Limits limits, Duration logRetention) {
    /** Rejects nulls. */
    public SidecarSettings {
        Objects.requireNonNull(identity, "identity");
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(network, "network");
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(logRetention, "logRetention");
    }

    /**
     * Ids and location of a sidecar.
     *
     * @param instance instance id
     * @param incarnation unique id of this process, new at every start
     * @param region region
     * @param dataCentre data centre
     */
    public record Identity(String instance, String incarnation, String region, String dataCentre) {
        public Identity {
            Objects.requireNonNull(instance, "instance");
            Objects.requireNonNull(incarnation, "incarnation");
            Objects.requireNonNull(region, "region");
            Objects.requireNonNull(dataCentre, "dataCentre");
        }
    }

    /**
     * The upstream beside the sidecar.
     *
     * @param id name of the upstream
     * @param kind kind of upstream
     * @param group upstream group that deployments and services refer to
     * @param baseUrl base URL
     */
    public record Upstream(String id, Instance.Kind kind, String group, URI baseUrl) {
        public Upstream {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(kind, "kind");
            Objects.requireNonNull(group, "group");
            Objects.requireNonNull(baseUrl, "baseUrl");
        }
    }

    /**
     * Addresses and bandwidth limits.
     *
     * @param peerAddress address on which the peer protocol is served; port 0 selects a free port
     * @param weightSources base URLs by preference: the weight store, then the origin; empty for a plain service
     * @param weightSourceRegion region of the weight store; traffic from another region is limited
     * @param uploadBytesPerSecond limit on the traffic of chunks sent to peers
     * @param interRegionBytesPerSecond limit on chunks fetched from other regions, shared by all sidecars of
     *     this region that want the same weights
     */
    public record Network(
            InetSocketAddress peerAddress,
            List<URI> weightSources,
            String weightSourceRegion,
            long uploadBytesPerSecond,
            long interRegionBytesPerSecond) {
        /** Rejects nulls and limits that would stop all traffic. */
        public Network {
            Objects.requireNonNull(peerAddress, "peerAddress");
            weightSources = List.copyOf(weightSources);
            Objects.requireNonNull(weightSourceRegion, "weightSourceRegion");
            if (uploadBytesPerSecond <= 0 || interRegionBytesPerSecond <= 0) {
                throw new IllegalArgumentException("bandwidth limits must be positive");
            }
        }
    }

    /**
     * Bounds on work in progress.
     *
     * @param serviceSlots maximum number of concurrent requests on a plain service; an engine reports its own slots
     * @param maxSlots upper bound on concurrent requests, and thus on worker threads
     * @param queueLimit maximum number of requests that wait for a slot
     * @param uploadSlots maximum number of chunks sent to peers at the same time
     */
    public record Limits(int serviceSlots, int maxSlots, int queueLimit, int uploadSlots) {
        private static final int DEFAULT_SERVICE_SLOTS = 16;
        private static final int DEFAULT_MAX_SLOTS = 128;
        private static final int DEFAULT_QUEUE_LIMIT = 4;
        private static final int DEFAULT_UPLOAD_SLOTS = 4;

        public Limits {
            if (serviceSlots <= 0 || maxSlots <= 0 || queueLimit < 0 || uploadSlots <= 0) {
                throw new IllegalArgumentException("limits must be positive");
            }
        }

        /** Returns the limits that apply unless the settings override them. */
        public static Limits defaults() {
            return new Limits(DEFAULT_SERVICE_SLOTS, DEFAULT_MAX_SLOTS, DEFAULT_QUEUE_LIMIT, DEFAULT_UPLOAD_SLOTS);
        }
    }
}
