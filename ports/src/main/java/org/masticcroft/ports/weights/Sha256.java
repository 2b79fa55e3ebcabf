package org.masticcroft.ports.weights;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests. */
public final class Sha256 {
    private Sha256() {}

    /** Returns a new {@link MessageDigest} for SHA-256. */
    public static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }

    /** Returns the digest of {@code data} in lower-case hex. */
    public static String hex(byte[] data) {
        return HexFormat.of().formatHex(newDigest().digest(data));
    }
}
