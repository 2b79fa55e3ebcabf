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
 * @param lines one JSON document a record, without line breaks
 */
public record Batch(BatchHeader header, List<String> lines) {
    /** Requires both parts. */
    public Batch {
        Objects.requireNonNull(header, "header");
        lines = List.copyOf(lines);
    }

    /** Seals records under a header whose digest, count and signature are filled in here. */
    public static Batch seal(BatchHeader unsigned, List<String> lines, SigningKey key) {
        BatchHeader complete = new BatchHeader(
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
        String signature = Base64.getEncoder().encodeToString(key.sign(complete.signedContent()));
        return new Batch(complete.withSignature(signature), lines);
    }

    /** Returns the uncompressed payload: the lines, each ended by a line feed. */
    public byte[] payload() {
        return payload(lines);
    }

    /** Returns whether count, payload digest and signature of this batch agree with its records. */
    public boolean isAuthentic(VerificationKeys keys) {
        return hasIntactPayload() && hasValidSignature(keys);
    }

    /** Returns whether count and payload digest agree with the records. */
    public boolean hasIntactPayload() {
        return header.count() == lines.size() && header.payloadDigest().equals(Sha256.hex(payload()));
    }

    /** Returns whether the header is signed by one of the keys. */
    public boolean hasValidSignature(VerificationKeys keys) {
        byte[] signature;
        try {
            signature = Base64.getDecoder().decode(header.signature());
        } catch (IllegalArgumentException e) {
            return false;
        }
        boolean canonical = Base64.getEncoder().encodeToString(signature).equals(header.signature());
        return canonical && keys.verify(header.keyId(), header.signedContent(), signature);
    }

    private static byte[] payload(List<String> lines) {
        StringBuilder text = new StringBuilder();
        lines.forEach(line -> text.append(line).append('\n'));
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }
}
