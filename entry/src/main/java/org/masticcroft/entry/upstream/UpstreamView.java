package org.masticcroft.entry.upstream;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Set;

/**
 * State of an upstream for operators.
 *
 * @param upstream name of the upstream
 * @param instance instance id of its sidecar
 * @param group upstream group
 * @param kind {@code engine} or {@code service}
 * @param region region
 * @param routable whether new work may go to it
 * @param reason reason if it is not routable, otherwise empty
 * @param ready digests that it serves
 * @param target digest that it is to serve
 * @param chunksHeld chunks of the target that it holds
 * @param chunksTotal chunks of the target in total
 * @param slots requests that it runs at once
 * @param inFlight requests of all entries at the last report
 * @param ownInFlight requests of this entry
 * @param heardMillisAgo time since the last message; -1 if there was none
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
