package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Objects;
import java.util.Optional;

/** A record of the log stream {@code config}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ConfigRecord.Update.class, name = "update"),
    @JsonSubTypes.Type(value = ConfigRecord.Snapshot.class, name = "snapshot")
})
public sealed interface ConfigRecord {
    /**
     * A published configuration. It takes effect if and only if {@code base} is the version in force at its position in
     * the stream; the new version is {@code base} + 1.
     *
     * @param publishId unique id of the publication, by which the publisher finds its record after a lost response
     * @param base version that the update is based on
     * @param author name of the operator; may be empty
     * @param config full merged configuration
     */
    record Update(
            @JsonProperty("publish_id") String publishId,
            @JsonProperty("base") long base,
            @JsonProperty("author") String author,
            @JsonProperty("config") FleetConfig config)
            implements ConfigRecord {
        public Update {
            Objects.requireNonNull(publishId, "publishId");
            Objects.requireNonNull(config, "config");
            requireNotNegative(base, "base");
            author = author == null ? "" : author;
        }
    }

    /**
     * A copy of the version in force, for readers that cannot read the stream from its start.
     *
     * @param version version in force after {@code foldedThrough}
     * @param foldedThrough offset of the last record that was folded into the version
     * @param config full merged configuration
     */
    record Snapshot(
            @JsonProperty("version") long version,
            @JsonProperty("folded_through") long foldedThrough,
            @JsonProperty("config") FleetConfig config)
            implements ConfigRecord {
        public Snapshot {
            Objects.requireNonNull(config, "config");
            requireNotNegative(version, "version");
        }

        /** Creates a snapshot of a state. */
        public static Snapshot of(ConfigState state) {
            return new Snapshot(state.version(), state.foldedThrough(), state.config());
        }
    }

    /** Returns this record as JSON in UTF-8. */
    default byte[] encode() {
        try {
            return ConfigJson.mapper().writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Decodes a record from JSON; returns empty if {@code data} is not a valid record. */
    static Optional<ConfigRecord> decode(byte[] data) {
        try {
            return Optional.ofNullable(ConfigJson.mapper().readValue(data, ConfigRecord.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static void requireNotNegative(long value, String name) {
        if (value < 0) {
            throw new IllegalArgumentException(name + " must not be negative: " + value);
        }
    }
}
