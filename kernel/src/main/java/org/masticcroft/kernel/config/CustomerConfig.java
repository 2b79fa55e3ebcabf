package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A customer, the unit of fairness and of limits.
 *
 * @param weight weight in fair queueing; larger gets more
 * @param requestsPerSecond limit over all its callers per entry; 0 is unlimited
 */
public record CustomerConfig(
        @JsonProperty(value = "weight", required = true) double weight,
        @JsonProperty("requests_per_second") double requestsPerSecond) {}
