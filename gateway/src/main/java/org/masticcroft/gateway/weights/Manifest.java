package org.masticcroft.gateway.weights;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;

/**
 * The digests of the pieces of a version of weights.
 *
 * @param model name of the model
 * @param version version of the weights
 * @param digests SHA-256 of each piece, in lower-case hexadecimal
 */
public record Manifest(String model, long version, List<String> digests) {
    public Manifest {
        Objects.requireNonNull(model, "model");
        digests = List.copyOf(digests);
    }

    /** Returns the number of pieces. */
    public int pieceCount() {
        return digests.size();
    }

    /** Returns whether the digest of the data equals that of the piece at the index. */
    public boolean matches(int index, byte[] data) {
        return digests.get(index).equals(sha256(data));
    }

    private static String sha256(byte[] data) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(data));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
