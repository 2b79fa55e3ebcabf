package org.masticcroft.account.export;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Objects;
import org.masticcroft.account.batch.BatchHeader;

/** A line of an exported file other than an audit record; audit records follow their {@link BatchLine}. */
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
     * First line of the file.
     *
     * @param format format name
     * @param fromMillis start of the exported interval in milliseconds since the epoch
     * @param toMillis end of the exported interval
     * @param firstOffset first offset of the stream that this file covers
     */
    record Start(
            @JsonProperty("format") String format,
            @JsonProperty("from_ms") long fromMillis,
            @JsonProperty("to_ms") long toMillis,
            @JsonProperty("first_offset") long firstOffset)
            implements ExportLine {
        /** Rejects null. */
        public Start {
            Objects.requireNonNull(format, "format");
        }
    }

    /**
     * A batch, followed by its record lines; the header contains their number.
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
        /** Rejects null. */
        public BatchLine {
            Objects.requireNonNull(header, "header");
        }
    }

    /**
     * A duplicate of an earlier batch. The writer appended it again because the response to the first append was lost.
     *
     * @param offset offset in the stream
     */
    record Copy(@JsonProperty("offset") long offset) implements ExportLine {}

    /**
     * A batch outside the exported interval. Its header is exported without records, because the verification of the
     * hash chain needs it.
     *
     * @param offset offset in the stream
     * @param header header of the batch
     */
    record Outside(
            @JsonProperty("offset") long offset,
            @JsonProperty("header") BatchHeader header) implements ExportLine {
        /** Rejects null. */
        public Outside {
            Objects.requireNonNull(header, "header");
        }
    }

    /**
     * A log record that is not a valid batch.
     *
     * @param offset offset in the stream
     */
    record Malformed(@JsonProperty("offset") long offset) implements ExportLine {}

    /**
     * A range of offsets whose log records had passed retention before they were exported.
     *
     * @param first first offset of the range
     * @param end offset after the range
     */
    record Expired(
            @JsonProperty("first") long first,
            @JsonProperty("end") long end) implements ExportLine {}

    /**
     * Last line of the file.
     *
     * @param nextOffset offset after the last one that this file covers
     * @param batches number of batch lines
     * @param records number of record lines
     * @param digest SHA-256 in hex of all lines before this one, each terminated by a line feed
     */
    record End(
            @JsonProperty("next_offset") long nextOffset,
            @JsonProperty("batches") long batches,
            @JsonProperty("records") long records,
            @JsonProperty("digest") String digest)
            implements ExportLine {
        /** Rejects null. */
        public End {
            Objects.requireNonNull(digest, "digest");
        }
    }
}
