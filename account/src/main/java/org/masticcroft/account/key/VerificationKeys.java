package org.masticcroft.account.key;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.MessageDigest;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Public keys that an auditor trusts, by key id. */
public final class VerificationKeys {
    static final String ALGORITHM = "Ed25519";

    private static final int ID_BYTES = 8;

    private final Map<String, PublicKey> keys;

    private VerificationKeys(Map<String, PublicKey> keys) {
        this.keys = keys;
    }

    /** Returns an empty set of keys. */
    public static VerificationKeys empty() {
        return new VerificationKeys(Map.of());
    }

    /**
     * Parses a text with one key per line in the form {@code <key id> <base64 of the X.509 encoding>}. Empty lines and
     * lines that start with {@code #} are skipped. After a rotation the text lists the old and the new key.
     *
     * @throws IllegalArgumentException if a line is malformed or its id was not derived from its key
     */
    public static VerificationKeys parse(String text) {
        Map<String, PublicKey> keys = new LinkedHashMap<>();
        for (String line : text.lines().map(String::strip).toList()) {
            if (!line.isEmpty() && !line.startsWith("#")) {
                String[] parts = line.split("\\s+");
                if (parts.length != 2) {
                    throw new IllegalArgumentException("a key line has the form <key id> <base64>: " + line);
                }
                PublicKey key = decode(parts[1]);
                if (!idOf(key).equals(parts[0])) {
                    throw new IllegalArgumentException("key id " + parts[0] + " does not match its public key");
                }
                keys.put(parts[0], key);
            }
        }
        return new VerificationKeys(keys);
    }

    public Set<String> ids() {
        return Set.copyOf(keys.keySet());
    }

    /** Returns whether the signature of the content is valid under the key with the given id. */
    public boolean verify(String keyId, byte[] content, byte[] signature) {
        PublicKey key = keys.get(keyId);
        if (key == null) {
            return false;
        }
        try {
            Signature verifier = Signature.getInstance(ALGORITHM);
            verifier.initVerify(key);
            verifier.update(content);
            return verifier.verify(signature);
        } catch (GeneralSecurityException e) {
            return false;
        }
    }

    /** Derives the key id: the first 8 bytes of the SHA-256 of the encoded public key, in hex. */
    static String idOf(PublicKey key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getEncoded());
            return HexFormat.of().formatHex(digest, 0, ID_BYTES);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java runtime has no SHA-256", e);
        }
    }

    private static PublicKey decode(String base64) {
        try {
            byte[] encoded = Base64.getDecoder().decode(base64.getBytes(StandardCharsets.US_ASCII));
            return KeyFactory.getInstance(ALGORITHM).generatePublic(new X509EncodedKeySpec(encoded));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new IllegalArgumentException("not a base64 X.509 Ed25519 public key", e);
        }
    }
}
