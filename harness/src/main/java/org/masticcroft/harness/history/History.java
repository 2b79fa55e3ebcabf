package org.masticcroft.harness.history;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticcroft.harness.json.Json;

/**
 * The requests and marks recorded during a run.
 *
 * @param requests all requests, in the order of their invoke lines
 * @param marks all marks, in the order of their lines
 */
public record History(List<Request> requests, List<Mark> marks) {
    public History {
        requests = List.copyOf(requests);
        marks = List.copyOf(marks);
    }

    /** Reads a history file. */
    public static History read(Path file) {
        try {
            return parse(Files.readAllLines(file));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read history " + file, e);
        }
    }

    /**
     * Parses the lines of a history. The last line may be truncated, because the load driver may have been killed.
     *
     * @throws IllegalArgumentException if another line is malformed, a request occurs twice, or an outcome has no
     *     request or is the second one of its request
     */
    public static History parse(List<String> lines) {
        Map<String, Invoke> invokes = new LinkedHashMap<>();
        Map<String, Outcome> outcomes = new LinkedHashMap<>();
        List<Mark> marks = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            try {
                add(Json.parse(lines.get(i)), invokes, outcomes, marks);
            } catch (IllegalArgumentException e) {
                if (i < lines.size() - 1) {
                    throw new IllegalArgumentException("history line " + (i + 1) + ": " + e.getMessage(), e);
                }
            }
        }
        List<Request> requests = invokes.values().stream()
                .map(invoke -> new Request(invoke, Optional.ofNullable(outcomes.get(invoke.id()))))
                .toList();
        return new History(requests, marks);
    }

    private static void add(
            JsonNode line, Map<String, Invoke> invokes, Map<String, Outcome> outcomes, List<Mark> marks) {
        switch (line.path("type").asText()) {
            case "invoke" -> {
                Invoke invoke = Json.value(line, Invoke.class);
                if (invokes.put(invoke.id(), invoke) != null) {
                    throw new IllegalArgumentException("second invoke line of " + invoke.id());
                }
            }
            case "outcome" -> {
                Outcome outcome = Json.value(line, Outcome.class);
                if (!invokes.containsKey(outcome.id()) || outcomes.put(outcome.id(), outcome) != null) {
                    throw new IllegalArgumentException("no invoke line or second outcome line of " + outcome.id());
                }
            }
            case "mark" -> marks.add(Json.value(line, Mark.class));
            default -> throw new IllegalArgumentException("unknown type of line");
        }
    }
}
