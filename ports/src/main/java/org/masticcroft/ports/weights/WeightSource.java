package org.masticcroft.ports.weights;

import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.id.WeightsDigest;

/** A source of manifests and chunks of weights. All methods block; safe for use by many threads. */
public interface WeightSource {
    /**
     * Returns the manifest of a version.
     *
     * @param expected the configured digest; a manifest with another digest is never returned
     * @throws MasticcroftException with {@code UPSTREAM_FAILED} if no source has it, {@code WEIGHTS_MISMATCH} if a
     *     source answered with a manifest of another digest
     */
    Manifest manifest(String model, String version, WeightsDigest expected);

    /**
     * Returns a chunk that was verified against the manifest.
     *
     * @throws MasticcroftException with {@code UPSTREAM_FAILED} if no source has it, {@code WEIGHTS_MISMATCH} if the
     *     bytes do not match the manifest
     */
    byte[] chunk(Manifest manifest, int index);
}
