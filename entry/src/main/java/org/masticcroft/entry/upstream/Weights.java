package org.masticcroft.entry.upstream;

import java.util.Objects;

/**
 * A set of weights, identified by its digest, with the names that callers and auditors see.
 *
 * @param model name of the model
 * @param version name of the version
 * @param digest weights digest
 */
public record Weights(String model, String version, String digest) {
    public Weights {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(digest, "digest");
    }
}
