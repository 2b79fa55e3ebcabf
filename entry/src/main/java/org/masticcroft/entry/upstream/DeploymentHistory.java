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
 * Remembers which weights a deployment named before, so that requests can be served during a version switch. Guarded
 * by its own monitor; calls nothing while locked.
 */
public final class DeploymentHistory {
    private static final int REMEMBERED_VERSIONS = 2;

    private final Map<String, Weights> inForce = new HashMap<>();
    private final Map<String, Deque<Weights>> previous = new HashMap<>();
    private long observedVersion = -1;

    private DeploymentHistory() {}

    /** Creates an empty history. */
    public static DeploymentHistory empty() {
        return new DeploymentHistory();
    }

    /** Records the deployments of a configuration; states at or below the last observed version have no effect. */
    public synchronized void observe(ConfigState state) {
        if (state.version() <= observedVersion) {
            return;
        }
        observedVersion = state.version();
        state.config()
                .deployments()
                .forEach((name, deployment) ->
                        weights(state.config(), deployment).ifPresent(weights -> record(name, weights)));
    }

    /** Resolves a deployment; empty if it is not configured or its version is unknown. */
    public synchronized Optional<Target> resolve(ConfigState state, String name) {
        observe(state);
        DeploymentConfig deployment = state.config().deployments().get(name);
        if (deployment == null) {
            return Optional.empty();
        }
        return weights(state.config(), deployment)
                .map(current -> new Target(
                        name,
                        deployment.group(),
                        acceptable(state.config(), name, deployment, current),
                        deployment.adapter(),
                        adapterDigest(state.config(), deployment)));
    }

    private void record(String name, Weights weights) {
        Weights old = inForce.put(name, weights);
        Deque<Weights> earlier = previous.computeIfAbsent(name, key -> new ArrayDeque<>());
        earlier.remove(weights);
        if (old != null && !old.equals(weights)) {
            earlier.addFirst(old);
        }
        while (earlier.size() > REMEMBERED_VERSIONS) {
            earlier.removeLast();
        }
    }

    private List<Weights> acceptable(FleetConfig config, String name, DeploymentConfig deployment, Weights current) {
        Set<Weights> acceptable = new LinkedHashSet<>();
        acceptable.add(current);
        Deque<Weights> earlier = previous.getOrDefault(name, new ArrayDeque<>());
        acceptable.addAll(earlier.isEmpty() ? unnamedVersions(config, deployment) : earlier);
        return new ArrayList<>(acceptable);
    }

    /**
     * An entry that started during a version switch has no history. Sidecars load only what a deployment of their group
     * names or named, so another version of the model that no deployment of the group names is an earlier one.
     */
    private static List<Weights> unnamedVersions(FleetConfig config, DeploymentConfig deployment) {
        List<String> named = config.deployments().values().stream()
                .filter(other -> other.group().equals(deployment.group()))
                .filter(other -> other.model().equals(deployment.model()))
                .map(DeploymentConfig::version)
                .toList();
        return config.models().get(deployment.model()).versions().entrySet().stream()
                .filter(version -> !named.contains(version.getKey()))
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
                    .orElse("adapter " + adapter + " is not configured");
        });
    }
}
