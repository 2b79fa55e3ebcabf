package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The merged configuration of a fleet. All maps are keyed by name and sorted, so that equal configurations have equal
 * JSON.
 *
 * @param ranks the ranks, by name
 * @param customers the customers, by name
 * @param keys the caller keys, by key name
 * @param models the models with their versions, by name
 * @param deployments the deployments, by the name that callers pass as {@code model}
 * @param services the plain services, by name
 * @param limits the limits on requests
 * @param policies names of the decision plug-ins
 * @param drained names of upstreams that receive no new work
 */
public record FleetConfig(
        @JsonProperty("ranks") SortedMap<String, RankConfig> ranks,
        @JsonProperty("customers") SortedMap<String, CustomerConfig> customers,
        @JsonProperty("keys") SortedMap<String, KeyConfig> keys,
        @JsonProperty("models") SortedMap<String, ModelConfig> models,
        @JsonProperty("deployments") SortedMap<String, DeploymentConfig> deployments,
        @JsonProperty("services") SortedMap<String, ServiceConfig> services,
        @JsonProperty("limits") LimitsConfig limits,
        @JsonProperty("policies") PolicyConfig policies,
        @JsonProperty("drained") SortedSet<String> drained) {

    /** Replaces absent sections by empty ones and copies all collections. */
    public FleetConfig {
        ranks = copy(ranks);
        customers = copy(customers);
        keys = copy(keys);
        models = copy(models);
        deployments = copy(deployments);
        services = copy(services);
        limits = limits == null ? LimitsConfig.defaults() : limits;
        policies = policies == null ? PolicyConfig.defaults() : policies;
        drained = Collections.unmodifiableSortedSet(drained == null ? new TreeSet<>() : new TreeSet<>(drained));
    }

    /** Returns a configuration whose maps are empty and whose limits and policies are the defaults. */
    public static FleetConfig empty() {
        return new FleetConfig(null, null, null, null, null, null, null, null, null);
    }

    /** Returns the version that a deployment serves, if the deployment and the version exist. */
    public Optional<VersionConfig> versionOf(DeploymentConfig deployment) {
        return Optional.ofNullable(models.get(deployment.model()))
                .flatMap(model -> Optional.ofNullable(model.versions().get(deployment.version())));
    }

    /** Returns the caller key with the hash {@code sha256Hex}, if there is one. */
    public Optional<KeyConfig> keyByHash(String sha256Hex) {
        return keys.values().stream()
                .filter(key -> key.sha256().equals(sha256Hex))
                .findFirst();
    }

    /** Returns a copy of this configuration with the given drained upstreams. */
    public FleetConfig withDrained(SortedSet<String> upstreams) {
        return new FleetConfig(ranks, customers, keys, models, deployments, services, limits, policies, upstreams);
    }

    private static <V> SortedMap<String, V> copy(Map<String, V> map) {
        return Collections.unmodifiableSortedMap(map == null ? new TreeMap<>() : new TreeMap<>(map));
    }
}
