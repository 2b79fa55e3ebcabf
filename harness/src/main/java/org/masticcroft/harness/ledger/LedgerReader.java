package org.masticcroft.harness.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.masticcroft.harness.json.Json;

/** Reads ledger entries from files and URLs and joins the start and end of each execution. */
public final class LedgerReader {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int PAGE_SIZE = 1_000;

    private LedgerReader() {}

    /**
     * Reads the executions of all sources.
     *
     * @param sources files with one JSON entry or page per line, or URLs of the collector or of an upstream's ledger
     */
    public static List<Execution> read(List<String> sources) throws InterruptedException {
        List<JsonNode> entries = new ArrayList<>();
        for (String source : sources) {
            entries.addAll(source.startsWith("http://") ? readUrl(source) : readFile(Path.of(source)));
        }
        return join(entries);
    }

    /** Joins ledger entries into executions: the end entry of an execution replaces its start entry. */
    public static List<Execution> join(List<JsonNode> entries) {
        Map<String, Execution> executions = new LinkedHashMap<>();
        for (JsonNode entry : entries) {
            Execution execution = Execution.parse(entry);
            executions.merge(execution.execution(), execution, (earlier, later) -> later.endMs() > 0 ? later : earlier);
        }
        return List.copyOf(executions.values());
    }

    private static List<JsonNode> readFile(Path file) {
        try {
            List<JsonNode> entries = new ArrayList<>();
            for (String line : Files.readAllLines(file)) {
                if (!line.isBlank()) {
                    JsonNode node = Json.parse(line);
                    (node.has("entries")
                                    ? node.path("entries")
                                    : Json.object().putArray("entries").add(node))
                            .forEach(entries::add);
                }
            }
            return entries;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read ledger " + file, e);
        }
    }

    private static List<JsonNode> readUrl(String url) throws InterruptedException {
        String entriesUrl = URI.create(url).getPath().length() > 1 ? url : url.replaceAll("/$", "") + "/entries";
        HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
        List<JsonNode> entries = new ArrayList<>();
        long offset = 0;
        while (true) {
            JsonNode page = get(client, URI.create(entriesUrl + "?from=" + offset + "&max=" + PAGE_SIZE));
            page.path("entries").forEach(entries::add);
            if (page.path("earliest").asLong() > offset) {
                throw new IllegalArgumentException("the ledger at " + url + " has dropped its oldest entries");
            }
            if (page.path("entries").isEmpty()) {
                return entries;
            }
            offset = page.path("next").asLong();
        }
    }

    private static JsonNode get(HttpClient client, URI uri) throws InterruptedException {
        try {
            HttpRequest request = HttpRequest.newBuilder(uri).timeout(TIMEOUT).build();
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() != 200) {
                throw new IOException("status " + response.statusCode());
            }
            return Json.parse(response.body());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read ledger " + uri, e);
        }
    }
}
