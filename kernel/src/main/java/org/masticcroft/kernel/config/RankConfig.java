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
        @JsonProperty("order") int order,
        @JsonProperty("share") double share,
        @JsonProperty("first_token") Duration firstToken,
        @JsonProperty("queue_limit") int queueLimit) {}
