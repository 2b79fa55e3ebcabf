package org.masticcroft.sidecar.lease;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Objects;
import java.util.Optional;

/**
 * Record of the log stream {@code leases}.
 *
 * @param upstream name of the upstream
 * @param instance instance id of the lease holder
 * @param incarnation incarnation of the process that holds the lease
 * @param token fencing token of the original record if this is a copy, which replaces it before it expires; null in the
 *     original
 */
@JsonIgnoreProperties(ignoreUnknown = true)
@JsonInclude(JsonInclude.Include.NON_NULL)
public record LeaseRecord(
        @JsonProperty("upstream") String upstream,
        @JsonProperty("instance") String instance,
        @JsonProperty("incarnation") String incarnation,
        @JsonProperty("token") Long token) {
    private static final ObjectMapper JSON = new ObjectMapper();

    public LeaseRecord {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(incarnation, "incarnation");
    }

    /** Creates an original record, whose fencing token is its offset in the log. */
    public static LeaseRecord original(String upstream, String instance, String incarnation) {
        return new LeaseRecord(upstream, instance, incarnation, null);
    }

    /** Parses a record; empty if {@code data} is not a lease record in JSON. */
    public static Optional<LeaseRecord> parse(byte[] data) {
        try {
            return Optional.ofNullable(JSON.readValue(data, LeaseRecord.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Returns a copy with the token of the original, which keeps the lease when the original expires. */
    public LeaseRecord copyWith(long originalToken) {
        return new LeaseRecord(upstream, instance, incarnation, originalToken);
    }

    /** Returns the fencing token of this record if it is stored at {@code offset}. */
    public long tokenAt(long offset) {
        return token == null ? offset : token;
    }

    /** Returns the record as JSON. */
    public byte[] bytes() {
        try {
            return JSON.writeValueAsBytes(this);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
