package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * A deployment: one version of a model on the engines of one upstream group.
 *
 * @param model name of the model
 * @param version name of the version in force
 * @param group upstream group, as the instance list names it
 * @param fencing whether the group's engines refuse old fencing numbers
 * @param adapter adapter in the form {@code model/version}, if any
 */
public record DeploymentConfig(
        @JsonProperty(value = "model", required = true) String model,
        @JsonProperty(value = "version", required = true) String version,
        @JsonProperty(value = "group", required = true) String group,
        @JsonProperty("fencing") Fencing fencing,
        @JsonProperty("adapter") Optional<String> adapter) {

    public DeploymentConfig {
        fencing = fencing == null ? Fencing.IGNORED : fencing;
        adapter = adapter == null ? Optional.empty() : adapter;
    }

    /** Whether an engine refuses an order with an old fencing number. */
    public enum Fencing {
        @JsonProperty("honoured")
        HONOURED,
        @JsonProperty("ignored")
        IGNORED
    }
}
