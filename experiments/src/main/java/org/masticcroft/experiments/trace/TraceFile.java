package org.masticcroft.experiments.trace;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes traces as JSON lines: one {@link TraceRequest} per line, in the order of arrival. */
public final class TraceFile {
    private static final ObjectMapper JSON = new ObjectMapper();

    private TraceFile() {}

    /**
     * Reads a trace.
     *
     * @throws IOException if the file cannot be read or a line is not a request
     */
    public static List<TraceRequest> read(Path file) throws IOException {
        List<TraceRequest> requests = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            requests.add(JSON.readValue(line, TraceRequest.class));
        }
        return List.copyOf(requests);
    }

    /**
     * Writes a trace.
     *
     * @throws IOException if the file cannot be written
     */
    public static void write(Path file, List<TraceRequest> requests) throws IOException {
        List<String> lines = new ArrayList<>();
        for (TraceRequest request : requests) {
            lines.add(JSON.writeValueAsString(request));
        }
        Files.createDirectories(file.toAbsolutePath().getParent());
        Files.write(file, lines);
    }
}
