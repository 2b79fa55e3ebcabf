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
 */
public record Customer(String name, List<String> keys, OptionalInt rank) {
    public Customer {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(rank, "rank");
        keys = List.copyOf(keys);
    }
}
