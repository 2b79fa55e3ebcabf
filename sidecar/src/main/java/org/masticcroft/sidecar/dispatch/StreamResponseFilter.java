package org.masticcroft.sidecar.dispatch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * Streamed response of an engine. Only whole server-sent events are passed on, so that the caller's position is known
 * when the stream breaks off, and the event that names other weights than those asked for is not.
 */
final class StreamAnswer implements Answer {
    /** Largest single event. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private final String expectedDigest;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final ByteArrayOutputStream event = new ByteArrayOutputStream();
    private String data = "";
    private boolean digestSeen;
    private boolean done;
    private Usage usage = Usage.NONE;

    StreamAnswer(String expectedDigest) {
        this.expectedDigest = Objects.requireNonNull(expectedDigest, "expectedDigest");
    }

    @Override
    public void accept(byte[] bytes, int length, ByteArrayOutputStream passOn) {
        for (int i = 0; i < length; i++) {
            event.write(bytes[i]);
            if (bytes[i] == '\n') {
                endOfLine(passOn);
            } else {
                line.write(bytes[i]);
            }
        }
        if (event.size() > MAX_EVENT_BYTES) {
            throw CompletionAnswer.incomplete("an event of the stream is larger than " + MAX_EVENT_BYTES, null);
        }
    }

    @Override
    public void end(ByteArrayOutputStream passOn) {
        if (!done) {
            throw CompletionAnswer.incomplete("the stream ended without " + DONE, null);
        }
        if (event.size() > 0) {
            throw CompletionAnswer.incomplete("the stream ended within an event", null);
        }
    }

    @Override
    public Usage usage() {
        return usage;
    }

    private void endOfLine(ByteArrayOutputStream passOn) {
        String text = line.toString(StandardCharsets.UTF_8).strip();
        line.reset();
        if (text.startsWith(DATA)) {
            data = data + text.substring(DATA.length()).strip();
        } else if (text.isEmpty()) {
            endOfEvent(passOn);
        }
    }

    private void endOfEvent(ByteArrayOutputStream passOn) {
        if (done && !data.isEmpty()) {
            throw CompletionAnswer.incomplete("the stream goes on after " + DONE, null);
        }
        if (data.equals(DONE)) {
            if (!digestSeen) {
                throw mismatch("no digest");
            }
            done = true;
        } else if (data.contains("\"weights_digest\"")
                || data.contains("\"usage\"")
                || data.contains(CompletionAnswer.CANCELLED)) {
            check(parse(data));
        }
        data = "";
        passOn.writeBytes(event.toByteArray());
        event.reset();
    }

    private void check(JsonNode message) {
        CompletionAnswer.requireNotCancelled(message);
        if (message.path("usage").isObject()) {
            usage = CompletionAnswer.usageOf(message);
        }
        JsonNode digest = message.path("weights_digest");
        if (digest.isTextual()) {
            if (!digest.asText().equals(expectedDigest)) {
                throw mismatch(digest.asText());
            }
            digestSeen = true;
        }
    }

    private JsonNode parse(String json) {
        try {
            return JSON.readTree(json);
        } catch (IOException e) {
            throw CompletionAnswer.incomplete("an event of the stream is not JSON", e);
        }
    }

    private MasticcroftException mismatch(String reported) {
        return MasticcroftException.of(
                ErrorCode.WEIGHTS_MISMATCH,
                Verdict.RAN,
                "the stream reports " + reported + " instead of " + expectedDigest);
    }
}
