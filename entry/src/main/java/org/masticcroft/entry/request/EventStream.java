package org.masticcroft.entry.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Server-sent events of one attempt. It counts the tokens that are passed on and holds back the closing events (usage
 * and {@code [DONE]}), so that the caller sees the end only after the whole answer was verified. Not safe for use by
 * many threads.
 */
final class EventStream {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private final ByteArrayOutputStream unfinished = new ByteArrayOutputStream();
    private final ByteArrayOutputStream heldBack = new ByteArrayOutputStream();
    private int heldTokens;
    private int tokens;
    private boolean done;

    private EventStream() {}

    static EventStream empty() {
        return new EventStream();
    }

    /** Returns the number of tokens in the events that were returned for passing on since the last call. */
    int takeTokens() {
        int taken = tokens;
        tokens = 0;
        return taken;
    }

    /** Returns whether the stream ended with its end marker and no further data. */
    boolean isComplete() {
        return done && unfinished.size() == 0;
    }

    /** Takes the next bytes and returns the events to pass on now; may be empty. */
    byte[] accept(byte[] data) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int lineStart = 0;
        for (int i = 0; i < data.length; i++) {
            if (data[i] == '\n') {
                boolean blank = isBlankLine(data, lineStart, i);
                unfinished.write(data, lineStart, i + 1 - lineStart);
                lineStart = i + 1;
                if (blank) {
                    onEvent(unfinished.toByteArray(), out);
                    unfinished.reset();
                }
            }
        }
        unfinished.write(data, lineStart, data.length - lineStart);
        return out.toByteArray();
    }

    /** Returns the closing events, after the answer was verified. */
    byte[] closing() {
        tokens += heldTokens;
        heldTokens = 0;
        byte[] closing = heldBack.toByteArray();
        heldBack.reset();
        return closing;
    }

    private boolean isBlankLine(byte[] data, int start, int end) {
        int length = end - start;
        boolean atLineStart = unfinished.size() == 0 || endsWithNewline(unfinished.toByteArray());
        return atLineStart && (length == 0 || length == 1 && data[start] == '\r');
    }

    private static boolean endsWithNewline(byte[] bytes) {
        return bytes[bytes.length - 1] == '\n';
    }

    private void onEvent(byte[] event, ByteArrayOutputStream out) {
        String data = dataOf(event);
        int count = 0;
        boolean closing = DONE.equals(data);
        done |= closing;
        if (!closing && !data.isEmpty()) {
            JsonNode json = parse(data);
            count = isToken(json) ? 1 : 0;
            closing = json.hasNonNull("usage") || json.hasNonNull("weights_digest");
        }
        if (closing) {
            heldBack.writeBytes(event);
            heldTokens += count;
        } else {
            out.writeBytes(closing());
            out.writeBytes(event);
            tokens += count;
        }
    }

    private static String dataOf(byte[] event) {
        StringBuilder data = new StringBuilder();
        new String(event, StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith(DATA))
                .forEach(line -> data.append(line.substring(DATA.length()).strip()));
        return data.toString();
    }

    private static JsonNode parse(String data) {
        try {
            return MAPPER.readTree(data);
        } catch (IOException e) {
            return MAPPER.createObjectNode();
        }
    }

    /** An event that only states the role of the speaker has empty content and is no token. */
    private static boolean isToken(JsonNode json) {
        JsonNode delta = json.path("choices").path(0).path("delta");
        JsonNode content = delta.path("content");
        return content.isTextual() && !(delta.has("role") && content.asText().isEmpty());
    }
}
