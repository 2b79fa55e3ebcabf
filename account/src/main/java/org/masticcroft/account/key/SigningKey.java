package org.masticcroft.account.key;

import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.Signature;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.Objects;

/** Ed25519 private key with which a writer signs its batches. */
public final class SigningKey {
    private static final String SEPARATOR = ":";

    private final String id;
    private final PrivateKey key;

    private SigningKey(String id, PrivateKey key) {
        this.id = id;
        this.key = key;
    }

    /**
     * Parses the text form {@code <key id>:<base64 of the PKCS #8 encoding>}.
     *
     * @throws IllegalArgumentException if the text is malformed; the message never contains the private key
     */
    public static SigningKey parse(String text) {
        String[] parts = Objects.requireNonNull(text, "text").strip().split(SEPARATOR, 2);
        if (parts.length != 2 || parts[0].isEmpty()) {
            throw new IllegalArgumentException("a signing key has the form <key id>:<base64 of PKCS #8>");
        }
        try {
            byte[] encoded = Base64.getDecoder().decode(parts[1]);
            PrivateKey key = KeyFactory.getInstance(VerificationKeys.ALGORITHM)
                    .generatePrivate(new PKCS8EncodedKeySpec(encoded));
            return new SigningKey(parts[0], key);
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new IllegalArgumentException("signing key " + parts[0] + " is not a valid Ed25519 key");
        }
    }

    /** Generates a new key pair. */
    public static EncodedKeyPair generate() {
        try {
            return encode(
                    KeyPairGenerator.getInstance(VerificationKeys.ALGORITHM).generateKeyPair());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java runtime has no Ed25519 support", e);
        }
    }

    /** Returns the text form of a key pair. */
    public static EncodedKeyPair encode(KeyPair pair) {
        String id = VerificationKeys.idOf(pair.getPublic());
        Base64.Encoder base64 = Base64.getEncoder();
        String secret = id + SEPARATOR + base64.encodeToString(pair.getPrivate().getEncoded());
        return new EncodedKeyPair(
                id, secret, base64.encodeToString(pair.getPublic().getEncoded()));
    }

    public String id() {
        return id;
    }

    /** Signs the content. */
    public byte[] sign(byte[] content) {
        try {
            Signature signature = Signature.getInstance(VerificationKeys.ALGORITHM);
            signature.initSign(key);
            signature.update(content);
            return signature.sign();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("cannot sign with key " + id, e);
        }
    }

    /**
     * A key pair in text form.
     *
     * @param id key id, derived from the public key
     * @param secret private key in the text form that {@link SigningKey#parse} accepts
     * @param publicKey base64 of the X.509 encoding of the public key
     */
    public record EncodedKeyPair(String id, String secret, String publicKey) {}
}
