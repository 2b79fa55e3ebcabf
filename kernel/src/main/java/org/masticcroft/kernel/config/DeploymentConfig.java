package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * A deployment: one version of a model on the engines of one upstream group.
 *
 * @param model name of the model
 * @param version name of the version in force
 * @param group upstream group, as named in the instance list
 * @param fencing whether the group's engines reject commands with outdated fencing tokens
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

    /** Whether an engine rejects a command with an outdated fencing token. */
    public enum Fencing {
        @JsonProperty("honoured")
        HONOURED,
        @JsonProperty("ignored")
        IGNORED
    }
}
