package org.masticcroft.ports.engine;

import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.ports.service.UpstreamCall;
import org.masticcroft.ports.weights.Manifest;

/**
 * Client of one engine. Safe for use by many threads. All methods but {@link #open} block. Every failure is a
 * {@link MasticcroftException} whose verdict says whether the engine may have executed the request or command.
 */
public interface EngineClient {
    /**
     * Sends a request. The refusals {@code weights_not_loaded} and {@code overloaded} are reported by
     * {@link UpstreamCall#await} as failures with verdict {@code NOT_RUN}.
     *
     * @throws MasticcroftException with {@code MALFORMED_REQUEST} if the body is not a JSON object
     */
    UpstreamCall open(EngineRequest request);

    /** Cancels a request. An unknown request id has no effect. */
    void cancel(String requestId);

    /** Returns the state that the engine reports. */
    EngineState state();

    /** Puts a chunk into the staging area and returns the SHA-256, in hex, of what the engine stored. */
    String putChunk(WeightsDigest digest, int index, byte[] data);

    /** Returns a chunk of staged or loaded weights. */
    byte[] chunk(WeightsDigest digest, int index);

    /** Drops the staged chunks of these weights. */
    void dropStaged(WeightsDigest digest);

    /** Loads staged weights; weights that are already loaded stay loaded. */
    CommandResult load(Manifest manifest, long fence);

    /** Unloads weights. */
    CommandResult unload(WeightsDigest digest, long fence);
}
