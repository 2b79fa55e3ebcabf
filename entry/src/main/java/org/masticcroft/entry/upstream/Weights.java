package org.masticcroft.entry.upstream;

import java.util.Objects;

/**
 * One exact set of weights under the names that callers and auditors see.
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
