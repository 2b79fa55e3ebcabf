package org.masticcroft.entry.upstream;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Deployment or plain service to which a request is routed.
 *
 * @param name name of the deployment or service, as used by the caller
 * @param group upstream group
 * @param weights acceptable weights, the current version first; empty for a plain service
 * @param adapter adapter of the deployment in the form {@code model/version}, if any
 * @param adapterDigest digest of the adapter, which must also be ready
 */
public record Target(
        String name, String group, List<Weights> weights, Optional<String> adapter, Optional<String> adapterDigest) {
    public Target {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(group, "group");
        weights = List.copyOf(weights);
    }

    /** Creates the target of a plain service. */
    public static Target service(String name, String group) {
        return new Target(name, group, List.of(), Optional.empty(), Optional.empty());
    }

    /** Returns whether the target is a plain service. */
    public boolean isService() {
        return weights.isEmpty();
    }
}
