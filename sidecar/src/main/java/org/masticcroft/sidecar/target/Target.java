package org.masticcroft.sidecar.target;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.config.FleetConfig;
import org.masticcroft.kernel.config.ModelConfig;
import org.masticcroft.kernel.config.VersionConfig;
import org.masticcroft.kernel.id.WeightsDigest;

/**
 * Weights that the configuration assigns to an engine: the weights of a model version or of an adapter.
 *
 * @param model name of the model
 * @param version name of the version
 * @param digest digest of the weights
 * @param sizeBytes size in bytes
 */
public record Target(String model, String version, WeightsDigest digest, long sizeBytes) {
    public Target {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(digest, "digest");
    }

    /** Returns the weights of all deployments of an upstream group, including those of adapters; each digest once. */
    public static List<Target> of(FleetConfig config, String group) {
        Map<WeightsDigest, Target> targets = new LinkedHashMap<>();
        config.deployments().values().stream()
                .filter(deployment -> group.equals(deployment.group()))
                .forEach(deployment -> {
                    add(targets, config, deployment.model(), deployment.version());
                    deployment.adapter().ifPresent(adapter -> addAdapter(targets, config, adapter));
                });
        return List.copyOf(targets.values());
    }

    /** Returns whether a deployment of {@code group} uses these weights. */
    public static boolean isConfigured(FleetConfig config, String group, WeightsDigest digest) {
        return of(config, group).stream().anyMatch(target -> target.digest().equals(digest));
    }

    /** Returns the size in bytes of the model version with this digest; 0 if the configuration has no such version. */
    public static long sizeOf(FleetConfig config, WeightsDigest digest) {
        return config.models().values().stream()
                .flatMap(model -> model.versions().values().stream())
                .filter(version -> version.digest().equals(digest))
                .mapToLong(VersionConfig::size)
                .findFirst()
                .orElse(0);
    }

    private static void addAdapter(Map<WeightsDigest, Target> targets, FleetConfig config, String adapter) {
        int slash = adapter.indexOf('/');
        if (slash > 0) {
            add(targets, config, adapter.substring(0, slash), adapter.substring(slash + 1));
        }
    }

    private static void add(Map<WeightsDigest, Target> targets, FleetConfig config, String model, String version) {
        Optional.ofNullable(config.models().get(model))
                .map(ModelConfig::versions)
                .map(versions -> versions.get(version))
                .ifPresent(found ->
                        targets.putIfAbsent(found.digest(), new Target(model, version, found.digest(), found.size())));
    }
}
