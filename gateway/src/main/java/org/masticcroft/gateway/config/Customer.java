package org.masticcroft.gateway.config;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * A customer and the keys of its callers.
 *
 * @param name name of the customer
 * @param keys keys that identify it
 * @param rank rank that takes precedence over the rank of a route, if any
 */
public record Customer(String name, List<String> keys, OptionalInt rank) {
    public Customer {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(rank, "rank");
        keys = List.copyOf(keys);
    }
}
