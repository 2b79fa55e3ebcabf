package org.masticcroft.account.batch;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Objects;
import org.masticcroft.account.key.SigningKey;
import org.masticcroft.account.key.VerificationKeys;

/**
 * A sealed batch: a signed header and the JSON lines of its records.
 *
 * @param header the header
 * @param lines one JSON document per record, without line breaks
 */
public record Batch(BatchHeader header, List<String> lines) {
    /** Rejects null and copies the lines. */
    public Batch {
        Objects.requireNonNull(header, "header");
        lines = List.copyOf(lines);
    }

    /** Creates a signed batch; fills in the count, payload digest, key id and signature of the header. */
    public static Batch seal(BatchHeader unsigned, List<String> lines, SigningKey key) {
        BatchHeader withDigest = new BatchHeader(
                unsigned.writer(),
                unsigned.role(),
                unsigned.first(),
                lines.size(),
                unsigned.previous(),
                Sha256.hex(payload(lines)),
                unsigned.openedMillis(),
                unsigned.closedMillis(),
                unsigned.gap(),
                unsigned.last(),
                key.id(),
                "");
        String signature = Base64.getEncoder().encodeToString(key.sign(withDigest.signedContent()));
        return new Batch(withDigest.withSignature(signature), lines);
    }

    /** Returns the uncompressed payload: the lines, each terminated by a line feed. */
    public byte[] payload() {
        return payload(lines);
    }

    /** Returns whether the count and payload digest match the records and the signature is valid. */
    public boolean isAuthentic(VerificationKeys keys) {
        return hasIntactPayload() && hasValidSignature(keys);
    }

    /** Returns whether the count and payload digest in the header match the records. */
    public boolean hasIntactPayload() {
        return header.count() == lines.size() && header.payloadDigest().equals(Sha256.hex(payload()));
    }

    /** Returns whether the header carries a valid signature by one of the keys. */
    public boolean hasValidSignature(VerificationKeys keys) {
        byte[] signature;
        try {
            signature = Base64.getDecoder().decode(header.signature());
        } catch (IllegalArgumentException e) {
            return false;
        }
        // The decoder accepts several encodings of the same bytes; only the canonical one is valid.
        boolean canonical = Base64.getEncoder().encodeToString(signature).equals(header.signature());
        return canonical && keys.verify(header.keyId(), header.signedContent(), signature);
    }

    private static byte[] payload(List<String> lines) {
        StringBuilder text = new StringBuilder();
        lines.forEach(line -> text.append(line).append('\n'));
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }
}
