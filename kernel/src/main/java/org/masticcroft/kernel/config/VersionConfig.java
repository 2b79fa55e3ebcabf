package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.masticcroft.kernel.id.WeightsDigest;

/**
 * A version of a model.
 *
 * @param digest digest that identifies the exact weights
 * @param size size of the weights in bytes
 */
public record VersionConfig(
        @JsonProperty(value = "digest", required = true) WeightsDigest digest,
        @JsonProperty(value = "size", required = true) long size) {}
