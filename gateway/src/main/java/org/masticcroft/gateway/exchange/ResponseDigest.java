package org.masticcroft.gateway.exchange;

import io.netty.buffer.ByteBuf;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/** Computes the SHA-256 digest of the response bytes that were forwarded to the caller. */
final class ResponseDigest {
    private MessageDigest digest;

    void add(ByteBuf content) {
        if (!content.isReadable()) {
            return;
        }
        if (digest == null) {
            digest = sha256();
        }
        digest.update(content.nioBuffer());
    }

    /** Returns the digest in hex; empty if no byte was forwarded. */
    Optional<String> hex() {
        return digest == null ? Optional.empty() : Optional.of(HexFormat.of().formatHex(digest.digest()));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime has no SHA-256", e);
        }
    }
}
