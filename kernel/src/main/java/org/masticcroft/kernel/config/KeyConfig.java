package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A caller key. The configuration contains only its hash.
 *
 * @param sha256 SHA-256 of the key in lower-case hex
 * @param customer name of the customer that the key belongs to
 * @param rank name of the rank in which requests with the key are served
 */
public record KeyConfig(
        @JsonProperty(value = "sha256", required = true) String sha256,
        @JsonProperty(value = "customer", required = true) String customer,
        @JsonProperty(value = "rank", required = true) String rank) {}
