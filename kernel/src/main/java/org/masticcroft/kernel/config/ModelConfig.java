package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A model with its versions. An adapter is configured as a model of its own; a deployment combines a version of it with
 * a version of the base model.
 *
 * @param versions the versions, by name
 */
public record ModelConfig(
        @JsonProperty(value = "versions", required = true) SortedMap<String, VersionConfig> versions) {
    public ModelConfig {
        versions = Collections.unmodifiableSortedMap(versions == null ? new TreeMap<>() : new TreeMap<>(versions));
    }

    /** Creates a model from its versions. */
    public static ModelConfig of(Map<String, VersionConfig> versions) {
        return new ModelConfig(new TreeMap<>(versions));
    }
}
