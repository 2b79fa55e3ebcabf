package org.masticcroft.account.export;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;

/**
 * Progress of an export, stored in a file beside the part file so that the export can be resumed.
 *
 * @param fromMillis start of the exported interval in milliseconds since the epoch
 * @param toMillis end of the exported interval
 * @param nextOffset first offset that is not yet exported
 * @param batches batch lines written
 * @param records record lines written
 * @param bytes length of the part file up to which its frames are complete
 */
record ExportState(
        @JsonProperty("from_ms") long fromMillis,
        @JsonProperty("to_ms") long toMillis,
        @JsonProperty("next_offset") long nextOffset,
        @JsonProperty("batches") long batches,
        @JsonProperty("records") long records,
        @JsonProperty("bytes") long bytes) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Reads a state file; empty if it is missing or unreadable. */
    static Optional<ExportState> read(Path file) {
        try {
            return Files.exists(file)
                    ? Optional.of(MAPPER.readValue(file.toFile(), ExportState.class))
                    : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    ExportState withBytes(long newBytes) {
        return new ExportState(fromMillis, toMillis, nextOffset, batches, records, newBytes);
    }

    /** Replaces the state file atomically, so that an interruption leaves either the old or the new state. */
    void write(Path file) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        MAPPER.writeValue(temporary.toFile(), this);
        Files.move(temporary, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }
}
