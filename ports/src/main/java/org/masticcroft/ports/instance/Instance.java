package org.masticcroft.ports.instance;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * An instance in the platform's instance list.
 *
 * @param id instance id
 * @param role role of the process on the instance
 * @param region region
 * @param dataCentre data centre
 * @param host IP address
 * @param httpPort port for callers; 0 for a sidecar
 * @param adminPort admin port
 * @param peerPort port of the peer protocol
 * @param state whether the platform is about to remove the instance
 * @param upstream the upstream of a sidecar; empty for an entry
 */
public record Instance(
        @JsonProperty("id") String id,
        @JsonProperty("role") Role role,
        @JsonProperty("region") String region,
        @JsonProperty("data_centre") String dataCentre,
        @JsonProperty("host") String host,
        @JsonProperty("http_port") int httpPort,
        @JsonProperty("admin_port") int adminPort,
        @JsonProperty("peer_port") int peerPort,
        @JsonProperty("state") State state,
        @JsonProperty("upstream") Optional<Upstream> upstream) {

    public Instance {
        upstream = upstream == null ? Optional.empty() : upstream;
    }

    /** Role of a process. */
    public enum Role {
        @JsonProperty("entry")
        ENTRY,
        @JsonProperty("sidecar")
        SIDECAR
    }

    /** State of an instance. */
    public enum State {
        @JsonProperty("live")
        LIVE,
        @JsonProperty("leaving")
        LEAVING
    }

    /** Kind of upstream. */
    public enum Kind {
        @JsonProperty("engine")
        ENGINE,
        @JsonProperty("service")
        SERVICE
    }

    /**
     * An upstream beside a sidecar.
     *
     * @param id name of the upstream
     * @param kind kind of upstream
     * @param group upstream group that deployments and services refer to
     */
    public record Upstream(
            @JsonProperty("id") String id,
            @JsonProperty("kind") Kind kind,
            @JsonProperty("group") String group) {}
}
