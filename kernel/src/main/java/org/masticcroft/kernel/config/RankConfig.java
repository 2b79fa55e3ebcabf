package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;

/**
 * A rank under which callers are served.
 *
 * @param order position of the rank; 0 is the most urgent
 * @param share guaranteed share of capacity while the rank has waiting work, between 0 and 1
 * @param firstToken target for the time to the first token
 * @param queueLimit largest number of waiting requests per entry
 */
public record RankConfig(
        @JsonProperty(value = "order", required = true) int order,
        @JsonProperty(value = "share", required = true) double share,

        @JsonProperty(value = "first_token", required = true)
        Duration firstToken,

        @JsonProperty(value = "queue_limit", required = true)
        int queueLimit) {}
