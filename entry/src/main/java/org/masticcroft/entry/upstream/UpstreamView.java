package org.masticcroft.entry.upstream;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Set;

/**
 * State of an upstream as shown to operators.
 *
 * @param upstream name of the upstream
 * @param instance instance id of its sidecar
 * @param group upstream group
 * @param kind {@code engine} or {@code service}
 * @param region region
 * @param routable whether new requests may be routed to it
 * @param reason why it is not routable; empty if it is
 * @param ready digests of the weights that it serves
 * @param target digest of the weights that it is to serve
 * @param chunksHeld chunks of the target that it holds
 * @param chunksTotal chunks of the target in total
 * @param slots number of requests that it runs at once; 0 if not reported
 * @param inFlight requests of all entries at the last load report
 * @param ownInFlight requests of this entry in flight
 * @param heardMillisAgo time since the last message in milliseconds; -1 if there was none
 * @param breaker state of the circuit breaker
 * @param configVersion configuration version that it last reported
 * @param incarnation incarnation of the engine process
 */
public record UpstreamView(
        @JsonProperty("upstream") String upstream,
        @JsonProperty("instance") String instance,
        @JsonProperty("group") String group,
        @JsonProperty("kind") String kind,
        @JsonProperty("region") String region,
        @JsonProperty("routable") boolean routable,
        @JsonProperty("reason") String reason,
        @JsonProperty("ready") Set<String> ready,
        @JsonProperty("target") String target,
        @JsonProperty("chunks_held") int chunksHeld,
        @JsonProperty("chunks_total") int chunksTotal,
        @JsonProperty("slots") int slots,
        @JsonProperty("in_flight") int inFlight,
        @JsonProperty("own_in_flight") int ownInFlight,
        @JsonProperty("heard_ms_ago") long heardMillisAgo,
        @JsonProperty("breaker") String breaker,
        @JsonProperty("config_version") long configVersion,
        @JsonProperty("incarnation") String incarnation) {
    public UpstreamView {
        ready = Set.copyOf(ready);
    }
}
