package org.masticcroft.entry.http;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.inject.Inject;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import org.masticcroft.entry.EntrySettings;
import org.masticcroft.entry.admission.AdmissionGate;
import org.masticcroft.entry.order.ClaimLog;
import org.masticcroft.entry.request.RequestRegistry;
import org.masticcroft.entry.upstream.UpstreamTable;
import org.masticcroft.entry.upstream.UpstreamView;
import org.masticcroft.entry.version.ConfigAge;
import org.masticcroft.kernel.config.ConfigView;

/** HTTP resource that shows operators the state of the entry. */
@Path("/status")
@Produces(MediaType.APPLICATION_JSON)
public final class StatusApi {
    private final EntrySettings settings;
    private final ConfigView config;
    private final UpstreamTable upstreams;
    private final AdmissionGate gate;
    private final RequestRegistry requests;
    private final ClaimLog claims;

    /** Creates the resource. */
    @Inject
    public StatusApi(
            EntrySettings settings,
            ConfigView config,
            UpstreamTable upstreams,
            AdmissionGate gate,
            RequestRegistry requests,
            ClaimLog claims) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.config = Objects.requireNonNull(config, "config");
        this.upstreams = Objects.requireNonNull(upstreams, "upstreams");
        this.gate = Objects.requireNonNull(gate, "gate");
        this.requests = Objects.requireNonNull(requests, "requests");
        this.claims = Objects.requireNonNull(claims, "claims");
    }

    /** Returns the state of the entry. */
    @GET
    public Status status() {
        return new Status(
                settings.instance(),
                "entry",
                settings.region(),
                settings.dataCentre(),
                config.state().version(),
                ConfigAge.millis(config),
                config.confirmed(),
                requests.isDraining(),
                requests.active(),
                claims.unwrittenCount(),
                gate.queueLengthsByRank(),
                gate.queueLengths(),
                upstreams.views());
    }

    /**
     * State of the entry.
     *
     * @param instance instance id
     * @param role role of the process
     * @param region region
     * @param dataCentre data centre
     * @param configVersion configuration version in force
     * @param configAgeMillis time since the configuration was confirmed against the log
     * @param configConfirmed whether the configuration counts as confirmed
     * @param draining whether the entry refuses new requests
     * @param active requests in progress
     * @param unwrittenClaims claims and outcomes that the log has not accepted yet
     * @param queues waiting requests by rank
     * @param queuesByGroup waiting requests by upstream group and rank
     * @param upstreams the upstreams that this entry uses
     */
    public record Status(
            @JsonProperty("instance") String instance,
            @JsonProperty("role") String role,
            @JsonProperty("region") String region,
            @JsonProperty("data_centre") String dataCentre,
            @JsonProperty("config_version") long configVersion,
            @JsonProperty("config_age_ms") long configAgeMillis,
            @JsonProperty("config_confirmed") boolean configConfirmed,
            @JsonProperty("draining") boolean draining,
            @JsonProperty("active") int active,
            @JsonProperty("unwritten_claims") int unwrittenClaims,
            @JsonProperty("queues") SortedMap<String, Integer> queues,
            @JsonProperty("queues_by_group") SortedMap<String, SortedMap<String, Integer>> queuesByGroup,
            @JsonProperty("upstreams") List<UpstreamView> upstreams) {
        public Status {
            upstreams = List.copyOf(upstreams);
        }
    }
}
