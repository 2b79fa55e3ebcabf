package org.masticcroft.cli.fleet;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.masticcroft.kernel.config.ConfigState;
import org.masticcroft.kernel.config.DeploymentConfig;
import org.masticcroft.kernel.config.FleetConfig;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.wire.generated.ReadyModel;
import org.masticcroft.wire.generated.StatusReply;

/**
 * Snapshot of the state of a fleet.
 *
 * @param version version in force; 0 if none is or if it is not known
 * @param versionKnown whether the log or an instance provided the version in force
 * @param instances the listed instances, sorted by id
 */
public record FleetReport(
        @JsonProperty("version") long version,
        @JsonProperty("version_known") boolean versionKnown,
        @JsonProperty("instances") List<Row> instances) {
    public FleetReport {
        instances = List.copyOf(instances);
    }

    /**
     * Creates a report.
     *
     * @param state the version in force; version 0 if it is not known
     */
    public static FleetReport of(ConfigState state, boolean versionKnown, List<InstanceStatus> statuses) {
        return new FleetReport(
                state.version(),
                versionKnown,
                statuses.stream().map(status -> Row.of(status, state)).toList());
    }

    /** Returns whether every live instance answers with the version in force, confirmed, and every engine is ready. */
    public boolean isComplete() {
        return versionKnown && instances.stream().filter(Row::live).allMatch(row -> row.current() && row.ready());
    }

    /** Returns one line on the progress of a rollout. */
    public String summary() {
        List<Row> live = instances.stream().filter(Row::live).toList();
        List<Row> engines =
                live.stream().filter(row -> "engine".equals(row.kind())).toList();
        long held = engines.stream().mapToLong(Row::chunksHeld).sum();
        long total = engines.stream().mapToLong(Row::chunksTotal).sum();
        return "version " + version + ": in force on "
                + live.stream().filter(Row::current).count() + " of " + live.size() + " live instances; "
                + engines.stream().filter(Row::ready).count() + " of " + engines.size() + " engines ready; "
                + held + " of " + total + " chunks held";
    }

    /**
     * State of one instance.
     *
     * @param id instance id
     * @param role role of the process
     * @param region region
     * @param dataCentre data centre
     * @param state state of the instance in the instance list
     * @param answered whether the instance answered
     * @param version configuration version that it acts on
     * @param confirmed whether it read the log recently enough to count that version as confirmed
     * @param ageMillis time since it last confirmed the version, in ms
     * @param current whether it answered and confirmed at least the version in force
     * @param upstream name of its upstream; empty for an entry
     * @param kind kind of its upstream; empty for an entry
     * @param draining whether the upstream receives no new work
     * @param slots requests that the upstream runs at a time
     * @param inFlight requests that it runs at present
     * @param queued requests that wait at the sidecar
     * @param models ready models, as {@code model/version}
     * @param ready whether the engine serves every version that the configuration deploys to its group; true for other
     *     upstreams
     * @param chunksHeld chunks held of the weights that it is fetching
     * @param chunksTotal total number of chunks of these weights
     */
    @JsonInclude(JsonInclude.Include.NON_EMPTY)
    public record Row(
            @JsonProperty("id") String id,
            @JsonProperty("role") Instance.Role role,
            @JsonProperty("region") String region,
            @JsonProperty("data_centre") String dataCentre,
            @JsonProperty("state") Instance.State state,
            @JsonProperty("answered") boolean answered,
            @JsonProperty("version") long version,
            @JsonProperty("confirmed") boolean confirmed,
            @JsonProperty("age_ms") long ageMillis,
            @JsonProperty("current") boolean current,
            @JsonProperty("upstream") String upstream,
            @JsonProperty("kind") String kind,
            @JsonProperty("draining") boolean draining,
            @JsonProperty("slots") int slots,
            @JsonProperty("in_flight") int inFlight,
            @JsonProperty("queued") int queued,
            @JsonProperty("models") List<String> models,
            @JsonProperty("ready") boolean ready,
            @JsonProperty("chunks_held") int chunksHeld,
            @JsonProperty("chunks_total") int chunksTotal) {

        private static Row of(InstanceStatus status, ConfigState state) {
            Instance instance = status.instance();
            StatusReply reply = status.reply().orElse(StatusReply.getDefaultInstance());
            String upstream = instance.upstream().map(Instance.Upstream::id).orElse("");
            return new Row(
                    instance.id(),
                    instance.role(),
                    instance.region(),
                    instance.dataCentre(),
                    instance.state(),
                    status.reply().isPresent(),
                    reply.getConfigVersion(),
                    reply.getConfigConfirmed(),
                    reply.getConfigAgeMs(),
                    status.hasVersion(state.version()) && reply.getConfigConfirmed(),
                    upstream,
                    kind(instance),
                    reply.getLoad().getDraining() || state.config().drained().contains(upstream),
                    reply.getLoad().getSlots(),
                    reply.getLoad().getInFlight(),
                    reply.getLoad().getQueued(),
                    reply.getReadyList().stream()
                            .map(ready -> ready.getModel() + "/" + ready.getVersion())
                            .toList(),
                    isReady(instance, reply, state.config()),
                    reply.getChunksHeld(),
                    reply.getChunksTotal());
        }

        boolean live() {
            return state == Instance.State.LIVE;
        }

        private static String kind(Instance instance) {
            return instance.upstream()
                    .map(upstream -> upstream.kind() == Instance.Kind.ENGINE ? "engine" : "service")
                    .orElse("");
        }

        private static boolean isReady(Instance instance, StatusReply reply, FleetConfig config) {
            if (!"engine".equals(kind(instance))) {
                return true;
            }
            Set<String> required =
                    requiredDigests(instance.upstream().orElseThrow().group(), config);
            Set<String> served = reply.getReadyList().stream()
                    .map(ReadyModel::getWeightsDigest)
                    .collect(Collectors.toSet());
            return served.containsAll(required);
        }

        private static Set<String> requiredDigests(String group, FleetConfig config) {
            return config.deployments().values().stream()
                    .filter(deployment -> group.equals(deployment.group()))
                    .flatMap((DeploymentConfig deployment) -> config.versionOf(deployment).stream())
                    .map(version -> version.digest().value())
                    .collect(Collectors.toSet());
        }
    }
}
