package org.masticcroft.account.batch;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;

/**
 * Header of a batch of audit records. The signature covers every other field and, through the payload digest, every
 * record.
 *
 * @param writer instance id and incarnation of the writer, unique for each process
 * @param role role of the writer
 * @param first number of the first record; each writer numbers its records from 0
 * @param count number of records
 * @param previous hash of the writer's previous batch; 64 zeros in its first batch
 * @param payloadDigest SHA-256 in hex of the uncompressed payload
 * @param openedMillis start of the interval that this batch covers, in milliseconds of wall-clock time since the epoch
 * @param closedMillis end of the interval that this batch covers
 * @param gap records that were dropped immediately before this batch, if any
 * @param last whether this is the final batch, appended when the writer is closed
 * @param keyId id of the signing key
 * @param signature signature of {@link #signedContent} in base64
 */
public record BatchHeader(
        @JsonProperty("writer") String writer,
        @JsonProperty("role") String role,
        @JsonProperty("first") long first,
        @JsonProperty("count") int count,
        @JsonProperty("previous") String previous,
        @JsonProperty("payload_digest") String payloadDigest,
        @JsonProperty("opened_ms") long openedMillis,
        @JsonProperty("closed_ms") long closedMillis,
        @JsonProperty("gap") Optional<Gap> gap,
        @JsonProperty("last") boolean last,
        @JsonProperty("key_id") String keyId,
        @JsonProperty("signature") String signature) {

    /** Value of {@code previous} in the first batch of a writer. */
    public static final String NO_PREVIOUS = "0".repeat(64);

    private static final String SIGNED_CONTENT_FORMAT = "masticcroft-account-batch-v1";

    /** Rejects null; an absent gap is read as empty. */
    public BatchHeader {
        Objects.requireNonNull(writer, "writer");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(previous, "previous");
        Objects.requireNonNull(payloadDigest, "payloadDigest");
        Objects.requireNonNull(keyId, "keyId");
        Objects.requireNonNull(signature, "signature");
        gap = gap == null ? Optional.empty() : gap;
    }

    /** Returns the bytes that are signed: the fields in a fixed order, one per line. */
    public byte[] signedContent() {
        String content = String.join(
                "\n",
                SIGNED_CONTENT_FORMAT,
                writer,
                role,
                Long.toString(first),
                Integer.toString(count),
                previous,
                payloadDigest,
                Long.toString(openedMillis),
                Long.toString(closedMillis),
                gap.map(Gap::signedContent).orElse("-"),
                Boolean.toString(last),
                keyId);
        return content.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the hash that the writer's next batch contains as {@code previous}. */
    @JsonIgnore
    public String hash() {
        return Sha256.hex(signedContent());
    }

    /** Returns the number of the record that follows this batch. */
    @JsonIgnore
    public long nextRecordNumber() {
        return first + count;
    }

    BatchHeader withSignature(String newSignature) {
        return new BatchHeader(
                writer,
                role,
                first,
                count,
                previous,
                payloadDigest,
                openedMillis,
                closedMillis,
                gap,
                last,
                keyId,
                newSignature);
    }

    /**
     * Records that a writer dropped because its buffer was full.
     *
     * @param first number of the first dropped record
     * @param count number of dropped records
     * @param fromMillis wall-clock time of the first dropped record in milliseconds since the epoch
     * @param toMillis wall-clock time of the last dropped record
     */
    public record Gap(
            @JsonProperty("first") long first,
            @JsonProperty("count") long count,
            @JsonProperty("from_ms") long fromMillis,
            @JsonProperty("to_ms") long toMillis) {
        String signedContent() {
            return first + "," + count + "," + fromMillis + "," + toMillis;
        }
    }
}
