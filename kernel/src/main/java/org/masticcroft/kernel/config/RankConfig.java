package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;

/**
 * A rank: a class of service with an order, a guaranteed share of the capacity and a target.
 *
 * @param order position of the rank; 0 is the most urgent
 * @param share share of the capacity, between 0 and 1, that the rank is guaranteed while it has waiting requests
 * @param firstToken target for the time to the first token
 * @param queueLimit maximum number of waiting requests per entry
 */
public record RankConfig(
        @JsonProperty(value = "order", required = true) int order,
        @JsonProperty(value = "share", required = true) double share,

        @JsonProperty(value = "first_token", required = true)
        Duration firstToken,

        @JsonProperty(value = "queue_limit", required = true)
        int queueLimit) {}
