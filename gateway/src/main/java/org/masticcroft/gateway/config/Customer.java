package org.masticcroft.gateway.config;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * A customer with the API keys of its callers.
 *
 * @param name name of the customer
 * @param keys API keys that identify requests of the customer
 * @param rank rank that takes precedence over the rank of a route; empty if the customer has none
 * @param allowedRegions regions in which requests of the customer may be served
 */
public record Customer(String name, List<String> keys, OptionalInt rank, AllowedRegions allowedRegions) {
    public Customer {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(rank, "rank");
        Objects.requireNonNull(allowedRegions, "allowedRegions");
        keys = List.copyOf(keys);
    }
}
