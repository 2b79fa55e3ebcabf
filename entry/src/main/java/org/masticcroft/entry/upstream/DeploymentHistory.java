package org.masticcroft.entry.upstream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.masticcroft.kernel.config.ConfigState;
import org.masticcroft.kernel.config.DeploymentConfig;
import org.masticcroft.kernel.config.FleetConfig;

/**
 * Keeps the previous weights of each deployment, so that requests can be served during a version switch. Thread-safe;
 * calls no other component while it holds its lock.
 */
public final class DeploymentHistory {
    private static final int MAX_PREVIOUS_VERSIONS = 2;

    private final Map<String, Weights> currentWeights = new HashMap<>();
    private final Map<String, Deque<Weights>> previous = new HashMap<>();
    private long lastVersion = -1;

    private DeploymentHistory() {}

    /** Creates an empty history. */
    public static DeploymentHistory empty() {
        return new DeploymentHistory();
    }

    /** Records the deployments of a configuration; a version not above the last recorded one is ignored. */
    public synchronized void observe(ConfigState state) {
        if (state.version() <= lastVersion) {
            return;
        }
        lastVersion = state.version();
        state.config()
                .deployments()
                .forEach((name, deployment) ->
                        weights(state.config(), deployment).ifPresent(weights -> record(name, weights)));
    }

    /** Returns the routing target of a deployment; empty if it is not configured or its version is unknown. */
    public synchronized Optional<Target> resolve(ConfigState state, String name) {
        observe(state);
        DeploymentConfig deployment = state.config().deployments().get(name);
        if (deployment == null) {
            return Optional.empty();
        }
        return weights(state.config(), deployment)
                .map(weights -> new Target(
                        name,
                        deployment.group(),
                        acceptableWeights(state.config(), name, deployment, weights),
                        deployment.adapter(),
                        adapterDigest(state.config(), deployment)));
    }

    private void record(String name, Weights weights) {
        Weights replaced = currentWeights.put(name, weights);
        Deque<Weights> earlier = previous.computeIfAbsent(name, key -> new ArrayDeque<>());
        earlier.remove(weights);
        if (replaced != null && !replaced.equals(weights)) {
            earlier.addFirst(replaced);
        }
        while (earlier.size() > MAX_PREVIOUS_VERSIONS) {
            earlier.removeLast();
        }
    }

    private List<Weights> acceptableWeights(
            FleetConfig config, String name, DeploymentConfig deployment, Weights current) {
        Set<Weights> acceptable = new LinkedHashSet<>();
        acceptable.add(current);
        Deque<Weights> earlier = previous.getOrDefault(name, new ArrayDeque<>());
        acceptable.addAll(earlier.isEmpty() ? unreferencedVersions(config, deployment) : earlier);
        return new ArrayList<>(acceptable);
    }

    /**
     * Returns the versions of the model that no deployment of the group refers to. An entry that started during a
     * version switch has no history. Sidecars load only versions that a deployment of their group refers to or referred
     * to, so such a version, if it is loaded, is an earlier one.
     */
    private static List<Weights> unreferencedVersions(FleetConfig config, DeploymentConfig deployment) {
        List<String> referenced = config.deployments().values().stream()
                .filter(other -> other.group().equals(deployment.group()))
                .filter(other -> other.model().equals(deployment.model()))
                .map(DeploymentConfig::version)
                .toList();
        return config.models().get(deployment.model()).versions().entrySet().stream()
                .filter(version -> !referenced.contains(version.getKey()))
                .map(version -> new Weights(
                        deployment.model(),
                        version.getKey(),
                        version.getValue().digest().value()))
                .toList();
    }

    private static Optional<Weights> weights(FleetConfig config, DeploymentConfig deployment) {
        return config.versionOf(deployment)
                .map(version -> new Weights(
                        deployment.model(),
                        deployment.version(),
                        version.digest().value()));
    }

    private static Optional<String> adapterDigest(FleetConfig config, DeploymentConfig deployment) {
        return deployment.adapter().map(adapter -> {
            String[] parts = adapter.split("/", 2);
            return Optional.ofNullable(config.models().get(parts[0]))
                    .map(model -> model.versions().get(parts.length > 1 ? parts[1] : ""))
                    .map(version -> version.digest().value())
                    // No upstream reports this text as a digest, so the deployment has no candidates.
                    .orElse("adapter " + adapter + " is not configured");
        });
    }
}
