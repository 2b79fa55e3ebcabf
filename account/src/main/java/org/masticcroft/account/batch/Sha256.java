package org.masticcroft.account.batch;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests. */
public final class Sha256 {
    private Sha256() {}

    /** Returns the SHA-256 of the content in lower-case hex. */
    public static String hex(byte[] content) {
        return HexFormat.of().formatHex(newDigest().digest(content));
    }

    /** Creates a SHA-256 message digest. */
    public static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime has no SHA-256", e);
        }
    }
}
