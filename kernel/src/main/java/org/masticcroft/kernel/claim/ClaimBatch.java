package org.masticcroft.kernel.claim;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * One record of the claim stream: a batch of claims and outcomes.
 *
 * @param batchId unique id by which a writer finds the record in the stream if the response to the append was lost
 * @param entries the claims and outcomes, in order
 */
public record ClaimBatch(
        @JsonProperty("batch") String batchId,
        @JsonProperty("entries") List<ClaimEntry> entries) {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    public ClaimBatch {
        Objects.requireNonNull(batchId, "batchId");
        entries = List.copyOf(entries);
    }

    /** Parses a record. Returns empty if it is not a batch; every reader ignores such a record. */
    public static Optional<ClaimBatch> fromJson(byte[] json) {
        try {
            return Optional.ofNullable(MAPPER.readValue(json, ClaimBatch.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Returns the record as JSON. */
    public byte[] toJson() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not serialise claim batch", e);
        }
    }
}
