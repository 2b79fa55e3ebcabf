package org.masticcroft.harness.check;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;
import org.masticcroft.harness.answer.AnswerToken;
import org.masticcroft.harness.answer.Sha256;
import org.masticcroft.harness.history.History;
import org.masticcroft.harness.json.Json;
import org.masticcroft.harness.ledger.LedgerReader;

/** Builds small histories and ledgers in their file formats for tests. */
final class HistoryBuilder {
    static final String WEIGHTS = "sha256:" + "ab".repeat(32);
    static final String OTHER_WEIGHTS = "sha256:" + "cd".repeat(32);

    private final List<String> lines = new ArrayList<>();
    private final List<JsonNode> ledger = new ArrayList<>();

    static HistoryBuilder create() {
        return new HistoryBuilder();
    }

    static String answer(String prompt, String weights, int from, int to, int total) {
        StringJoiner text = new StringJoiner(" ");
        for (int i = from; i < to; i++) {
            text.add(AnswerToken.of(i, total, Sha256.hex(prompt), weights).toString());
        }
        return text.toString();
    }

    HistoryBuilder chat(String id, long timeMs) {
        return line(invoke(id, timeMs, "CHAT", id)
                .put("prompt", "p-" + id)
                .put("prompt_sha256", Sha256.hex("p-" + id))
                .put("max_tokens", 4));
    }

    HistoryBuilder order(String id, String key, long timeMs) {
        return line(invoke(id, timeMs, "ORDER", key).put("idempotency_key", key).put("body_sha256", Sha256.hex(key)));
    }

    HistoryBuilder read(String id, long timeMs) {
        return line(invoke(id, timeMs, "READ", id));
    }

    /** Adds an outcome with status 200; {@code fields} is a JSON object that overrides or adds fields. */
    HistoryBuilder outcome(String id, long timeMs, String fields) {
        ObjectNode outcome = Json.object()
                .put("type", "outcome")
                .put("id", id)
                .put("time_ms", timeMs)
                .put("status", 200)
                .put("complete", true)
                .put("request_id", "r-" + id)
                .put("upstream", "e1");
        outcome.setAll((ObjectNode) Json.parse(fields));
        return line(outcome);
    }

    HistoryBuilder chatAnswer(String id, long timeMs, String answer) {
        return outcome(
                id,
                timeMs,
                Json.object()
                        .put("answer", answer)
                        .put("weights_digest", WEIGHTS)
                        .toString());
    }

    HistoryBuilder mark(String kind, String name, long timeMs) {
        return line(Json.object()
                .put("type", "mark")
                .put("time_ms", timeMs)
                .put("kind", kind)
                .put("name", name));
    }

    /** Adds the ledger entries for start and end of an execution of a chat completion. */
    HistoryBuilder engineExecution(String requestId, String chatId, String source, long startMs) {
        return execution(Json.object().put("prompt_sha256", Sha256.hex("p-" + chatId)), requestId, source, startMs);
    }

    /** Adds the ledger entries for start and end of an execution of an order. */
    HistoryBuilder serviceExecution(String requestId, String key, String source, long startMs) {
        return execution(
                Json.object().put("method", "POST").put("path", "/orders").put("body_sha256", Sha256.hex(key)),
                requestId,
                source,
                startMs);
    }

    Finding check(Invariant invariant) {
        return invariant.check(evidence());
    }

    Evidence evidence() {
        return Evidence.of(History.parse(lines), LedgerReader.join(ledger));
    }

    private HistoryBuilder execution(ObjectNode entry, String requestId, String source, long startMs) {
        entry.put("execution", source + "/" + ledger.size())
                .put("source", source)
                .put("request_id", requestId)
                .put("start_ms", startMs);
        ledger.add(entry.deepCopy().put("event", "start"));
        ledger.add(entry.put("event", "end").put("end_ms", startMs + 5).put("outcome", "completed"));
        return this;
    }

    private static ObjectNode invoke(String id, long timeMs, String kind, String token) {
        return Json.object()
                .put("type", "invoke")
                .put("id", id)
                .put("time_ms", timeMs)
                .put("kind", kind)
                .put("entry", "127.0.0.1:1")
                .put("key", "k1")
                .put("token", token);
    }

    private HistoryBuilder line(ObjectNode line) {
        lines.add(Json.line(line));
        return this;
    }
}
