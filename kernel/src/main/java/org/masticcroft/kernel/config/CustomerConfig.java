package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A customer, the unit of fairness and of limits.
 *
 * @param weight weight in fair queueing; a larger weight gets a larger share of the capacity
 * @param requestsPerSecond rate limit per entry over all callers of the customer; 0 means unlimited
 */
public record CustomerConfig(
        @JsonProperty(value = "weight", required = true) double weight,
        @JsonProperty("requests_per_second") double requestsPerSecond) {}
