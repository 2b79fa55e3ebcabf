package org.masticcroft.sidecar.fetch;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.kernel.config.DeploymentConfig;
import org.masticcroft.kernel.config.FleetConfig;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.instance.InstanceList;
import org.masticcroft.sidecar.SidecarSettings;
import org.masticcroft.sidecar.target.Target;

/** Finds the live sidecars that fetch or hold the same weights and exchange chunks of them. */
public final class SwarmMembers {
    private final InstanceList instances;
    private final ConfigView config;
    private final SidecarSettings.Identity self;

    private SwarmMembers(InstanceList instances, ConfigView config, SidecarSettings.Identity self) {
        this.instances = instances;
        this.config = config;
        this.self = self;
    }

    /** Creates the members as seen by the sidecar {@code self}. */
    public static SwarmMembers of(InstanceList instances, ConfigView config, SidecarSettings.Identity self) {
        return new SwarmMembers(
                Objects.requireNonNull(instances, "instances"),
                Objects.requireNonNull(config, "config"),
                Objects.requireNonNull(self, "self"));
    }

    /** Returns the other live sidecars whose upstream group has a deployment of these weights. */
    public List<Instance> peers(WeightsDigest digest) {
        Set<String> groups = groups(config.state().config(), digest);
        return instances.instances().stream()
                .filter(instance -> instance.role() == Instance.Role.SIDECAR)
                .filter(instance -> instance.state() == Instance.State.LIVE)
                .filter(instance -> !instance.id().equals(self.instance()))
                .filter(instance -> instance.upstream()
                        .filter(upstream -> groups.contains(upstream.group()))
                        .isPresent())
                .toList();
    }

    /** Returns the sorted ids of the sidecars of this region that want these weights; always includes this sidecar. */
    public List<String> regionMembers(WeightsDigest digest) {
        return Stream.concat(
                        Stream.of(self.instance()),
                        peers(digest).stream().filter(this::isSameRegion).map(Instance::id))
                .sorted()
                .toList();
    }

    /** Returns whether an instance is in the region of this sidecar. */
    public boolean isSameRegion(Instance instance) {
        return self.region().equals(instance.region());
    }

    private static Set<String> groups(FleetConfig current, WeightsDigest digest) {
        return current.deployments().values().stream()
                .map(DeploymentConfig::group)
                .filter(group -> Target.isConfigured(current, group, digest))
                .collect(Collectors.toSet());
    }
}
