package org.masticcroft.account.export;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.util.Optional;

/** Converts export lines to and from JSON. */
final class ExportCodec {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private ExportCodec() {}

    static String write(ExportLine line) {
        try {
            return MAPPER.writerFor(ExportLine.class).writeValueAsString(line);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write an export line as JSON", e);
        }
    }

    /** Parses a line; empty if it is not exactly what {@link #write} produces. */
    static Optional<ExportLine> parse(String text) {
        try {
            ExportLine line = MAPPER.readValue(text, ExportLine.class);
            return write(line).equals(text) ? Optional.of(line) : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
