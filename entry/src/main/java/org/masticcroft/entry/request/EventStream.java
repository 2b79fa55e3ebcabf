package org.masticcroft.entry.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/**
 * Splits the streamed answer of one attempt into server-sent events. It counts the forwarded tokens and holds back the
 * closing events (usage and {@code [DONE]}), so that the caller sees the end of the stream only after the complete
 * answer was verified. Not thread-safe.
 */
final class EventStream {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA_PREFIX = "data:";
    private static final String END_MARKER = "[DONE]";

    /** Fields of an event; the empty name is that of a comment. */
    private static final Set<String> FIELDS = Set.of("", "data", "event", "id", "retry");

    private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();
    private final ByteArrayOutputStream closingEvents = new ByteArrayOutputStream();
    private int closingTokens;
    private int tokenCount;
    private boolean endMarkerSeen;
    private boolean invalid;

    private EventStream() {}

    static EventStream empty() {
        return new EventStream();
    }

    /** Returns the number of tokens in the events that were returned for forwarding since the last call. */
    int drainTokenCount() {
        int drained = tokenCount;
        tokenCount = 0;
        return drained;
    }

    /** Returns whether the stream ended with its end marker and no further data. */
    boolean isComplete() {
        return endMarkerSeen && partialEvent.size() == 0;
    }

    /** Returns whether text other than events has arrived; nothing is returned for forwarding from there on. */
    boolean isInvalid() {
        return invalid;
    }

    /** Accepts the next bytes and returns the events to forward now; may be empty. */
    byte[] accept(byte[] data) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int lineStart = 0;
        for (int i = 0; i < data.length; i++) {
            if (data[i] == '\n') {
                boolean blank = isBlankLine(data, lineStart, i);
                partialEvent.write(data, lineStart, i + 1 - lineStart);
                lineStart = i + 1;
                if (blank) {
                    onEvent(partialEvent.toByteArray(), out);
                    partialEvent.reset();
                }
            }
        }
        partialEvent.write(data, lineStart, data.length - lineStart);
        return out.toByteArray();
    }

    /** Returns the closing events and removes them; called after the answer was verified. */
    byte[] drainClosingEvents() {
        tokenCount += closingTokens;
        closingTokens = 0;
        byte[] closing = closingEvents.toByteArray();
        closingEvents.reset();
        return closing;
    }

    private boolean isBlankLine(byte[] data, int start, int end) {
        int length = end - start;
        boolean atLineStart = partialEvent.size() == 0 || endsWithNewline(partialEvent.toByteArray());
        return atLineStart && (length == 0 || length == 1 && data[start] == '\r');
    }

    private static boolean endsWithNewline(byte[] bytes) {
        return bytes[bytes.length - 1] == '\n';
    }

    private void onEvent(byte[] event, ByteArrayOutputStream out) {
        invalid |= !new String(event, StandardCharsets.UTF_8).lines().allMatch(EventStream::isField);
        if (invalid) {
            return;
        }
        String data = dataOf(event);
        int count = 0;
        boolean closing = END_MARKER.equals(data);
        endMarkerSeen |= closing;
        if (!closing && !data.isEmpty()) {
            JsonNode json = parse(data);
            count = carriesToken(json) ? 1 : 0;
            closing = json.hasNonNull("usage") || json.hasNonNull("weights_digest");
        }
        if (closing) {
            closingEvents.writeBytes(event);
            closingTokens += count;
        } else {
            out.writeBytes(drainClosingEvents());
            out.writeBytes(event);
            tokenCount += count;
        }
    }

    private static boolean isField(String line) {
        int colon = line.indexOf(':');
        return FIELDS.contains(colon < 0 ? line : line.substring(0, colon));
    }

    private static String dataOf(byte[] event) {
        StringBuilder data = new StringBuilder();
        new String(event, StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith(DATA_PREFIX))
                .forEach(
                        line -> data.append(line.substring(DATA_PREFIX.length()).strip()));
        return data.toString();
    }

    private static JsonNode parse(String data) {
        try {
            return MAPPER.readTree(data);
        } catch (IOException e) {
            return MAPPER.createObjectNode();
        }
    }

    /** Returns whether an event carries a token; one that only states the role has empty content and carries none. */
    private static boolean carriesToken(JsonNode json) {
        JsonNode delta = json.path("choices").path(0).path("delta");
        JsonNode content = delta.path("content");
        return content.isTextual() && !(delta.has("role") && content.asText().isEmpty());
    }
}
