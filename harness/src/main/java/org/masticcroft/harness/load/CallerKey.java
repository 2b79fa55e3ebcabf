package org.masticcroft.harness.load;

import java.util.Objects;

/**
 * A caller of the generated load, identified by its API key.
 *
 * @param key API key
 * @param rank rank under which the summary counts the requests of the caller
 * @param weight share of the requests, relative to the other callers
 */
public record CallerKey(String key, String rank, double weight) {
    /** Checks that the weight is above 0. */
    public CallerKey {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(rank, "rank");
        if (!(weight > 0)) {
            throw new IllegalArgumentException("weight of " + key + " is not above 0");
        }
    }

    /**
     * Parses the form {@code key:rank} or {@code key:rank:weight}.
     *
     * @throws IllegalArgumentException if {@code text} is malformed
     */
    public static CallerKey parse(String text) {
        String[] parts = text.split(":");
        if (parts.length < 2 || parts.length > 3) {
            throw new IllegalArgumentException("not of the form key:rank or key:rank:weight: " + text);
        }
        return new CallerKey(parts[0], parts[1], parts.length == 3 ? Double.parseDouble(parts[2]) : 1);
    }
}
