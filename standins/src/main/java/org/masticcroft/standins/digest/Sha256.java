package org.masticcroft.standins.digest;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/** Computes SHA-256 digests in the forms that the platform protocols use. */
public final class Sha256 {
    private static final HexFormat HEX = HexFormat.of();

    private Sha256() {}

    /** Returns the digest of {@code data} as lower-case hex. */
    public static String hex(byte[] data) {
        return HEX.formatHex(newDigest().digest(data));
    }

    /** Returns the digest of {@code text} in UTF-8 as lower-case hex. */
    public static String hex(String text) {
        return hex(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the weights digest: SHA-256 over the digests of all chunks in order, given as hex. */
    public static String weightsDigest(List<String> chunkDigests) {
        MessageDigest digest = newDigest();
        for (String chunk : chunkDigests) {
            digest.update(HEX.parseHex(chunk));
        }
        return "sha256:" + HEX.formatHex(digest.digest());
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the JDK has no SHA-256", e);
        }
    }
}
