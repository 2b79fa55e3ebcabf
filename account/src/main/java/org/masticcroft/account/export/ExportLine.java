package org.masticcroft.account.export;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Objects;
import org.masticcroft.account.batch.BatchHeader;

/** A structural line of an exported file; the lines of records follow their {@link BatchLine}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_OBJECT)
@JsonSubTypes({
    @JsonSubTypes.Type(value = ExportLine.Start.class, name = "start"),
    @JsonSubTypes.Type(value = ExportLine.BatchLine.class, name = "batch"),
    @JsonSubTypes.Type(value = ExportLine.Copy.class, name = "copy"),
    @JsonSubTypes.Type(value = ExportLine.Outside.class, name = "outside"),
    @JsonSubTypes.Type(value = ExportLine.Malformed.class, name = "malformed"),
    @JsonSubTypes.Type(value = ExportLine.Expired.class, name = "expired"),
    @JsonSubTypes.Type(value = ExportLine.End.class, name = "end")
})
public sealed interface ExportLine {
    /** Format name in the first line. */
    String FORMAT = "masticcroft-account-v1";

    /**
     * First line.
     *
     * @param format format name
     * @param fromMillis start of the wanted interval in milliseconds since the epoch
     * @param toMillis end of the wanted interval
     * @param firstOffset first offset of the stream that this file accounts for
     */
    record Start(
            @JsonProperty("format") String format,
            @JsonProperty("from_ms") long fromMillis,
            @JsonProperty("to_ms") long toMillis,
            @JsonProperty("first_offset") long firstOffset)
            implements ExportLine {
        /** Requires the format. */
        public Start {
            Objects.requireNonNull(format, "format");
        }
    }

    /**
     * A batch; as many record lines as its header counts follow.
     *
     * @param offset offset in the stream
     * @param timeMillis time at which the log accepted the batch
     * @param header header of the batch
     */
    record BatchLine(
            @JsonProperty("offset") long offset,
            @JsonProperty("time_ms") long timeMillis,
            @JsonProperty("header") BatchHeader header)
            implements ExportLine {
        /** Requires the header. */
        public BatchLine {
            Objects.requireNonNull(header, "header");
        }
    }

    /**
     * A second copy of a batch, left behind by an append whose answer was lost.
     *
     * @param offset offset in the stream
     */
    record Copy(@JsonProperty("offset") long offset) implements ExportLine {}

    /**
     * A batch that lies outside the wanted interval. Its header keeps the chain checkable.
     *
     * @param offset offset in the stream
     * @param header header of the batch
     */
    record Outside(
            @JsonProperty("offset") long offset,
            @JsonProperty("header") BatchHeader header) implements ExportLine {
        /** Requires the header. */
        public Outside {
            Objects.requireNonNull(header, "header");
        }
    }

    /**
     * A record of the stream that is not a batch.
     *
     * @param offset offset in the stream
     */
    record Malformed(@JsonProperty("offset") long offset) implements ExportLine {}

    /**
     * Offsets that the log had forgotten before they were exported.
     *
     * @param first first such offset
     * @param end offset after the last one
     */
    record Expired(
            @JsonProperty("first") long first,
            @JsonProperty("end") long end) implements ExportLine {}

    /**
     * Last line.
     *
     * @param nextOffset offset after the last one that this file accounts for
     * @param batches number of batch lines
     * @param records number of record lines
     * @param digest SHA-256 in hex of all lines before this one, each ended by a line feed
     */
    record End(
            @JsonProperty("next_offset") long nextOffset,
            @JsonProperty("batches") long batches,
            @JsonProperty("records") long records,
            @JsonProperty("digest") String digest)
            implements ExportLine {
        /** Requires the digest. */
        public End {
            Objects.requireNonNull(digest, "digest");
        }
    }
}
