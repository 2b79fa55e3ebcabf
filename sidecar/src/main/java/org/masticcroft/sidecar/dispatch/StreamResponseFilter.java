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
 * Filter for a streaming response of an engine. Only whole server-sent events are forwarded, so that the position of
 * the caller in the stream is known when the connection to the engine is lost. An event that reports the digest of
 * other weights than requested is rejected.
 */
final class StreamResponseFilter implements ResponseFilter {
    /** Maximum size of an event. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA_FIELD = "data:";
    private static final String END_MARKER = "[DONE]";

    private final String expectedDigest;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final ByteArrayOutputStream event = new ByteArrayOutputStream();
    private String data = "";
    private boolean digestVerified;
    private boolean done;
    private Usage usage = Usage.NONE;

    StreamResponseFilter(String expectedDigest) {
        this.expectedDigest = Objects.requireNonNull(expectedDigest, "expectedDigest");
    }

    @Override
    public void accept(byte[] bytes, int length, ByteArrayOutputStream output) {
        for (int i = 0; i < length; i++) {
            event.write(bytes[i]);
            if (bytes[i] == '\n') {
                completeLine(output);
            } else {
                line.write(bytes[i]);
            }
        }
        if (event.size() > MAX_EVENT_BYTES) {
            throw CompletionResponseFilter.incomplete("an event of the stream is larger than " + MAX_EVENT_BYTES, null);
        }
    }

    @Override
    public void end(ByteArrayOutputStream output) {
        if (!done) {
            throw CompletionResponseFilter.incomplete("the stream ended without " + END_MARKER, null);
        }
        if (event.size() > 0) {
            throw CompletionResponseFilter.incomplete("the stream ended within an event", null);
        }
    }

    @Override
    public Usage usage() {
        return usage;
    }

    private void completeLine(ByteArrayOutputStream output) {
        String text = line.toString(StandardCharsets.UTF_8).strip();
        line.reset();
        if (text.startsWith(DATA_FIELD)) {
            data = data + text.substring(DATA_FIELD.length()).strip();
        } else if (text.isEmpty()) {
            completeEvent(output);
        }
    }

    private void completeEvent(ByteArrayOutputStream output) {
        if (done && !data.isEmpty()) {
            throw CompletionResponseFilter.incomplete("the stream continues after " + END_MARKER, null);
        }
        if (data.equals(END_MARKER)) {
            if (!digestVerified) {
                throw mismatch("no digest");
            }
            done = true;
        } else if (data.contains("\"weights_digest\"")
                || data.contains("\"usage\"")
                || data.contains(CompletionResponseFilter.CANCELLED)) {
            inspect(parse(data));
        }
        data = "";
        output.writeBytes(event.toByteArray());
        event.reset();
    }

    private void inspect(JsonNode message) {
        CompletionResponseFilter.requireNotCancelled(message);
        if (message.path("usage").isObject()) {
            usage = CompletionResponseFilter.usageOf(message);
        }
        JsonNode digest = message.path("weights_digest");
        if (digest.isTextual()) {
            if (!digest.asText().equals(expectedDigest)) {
                throw mismatch(digest.asText());
            }
            digestVerified = true;
        }
    }

    private JsonNode parse(String json) {
        try {
            return JSON.readTree(json);
        } catch (IOException e) {
            throw CompletionResponseFilter.incomplete("an event of the stream is not JSON", e);
        }
    }

    private MasticcroftException mismatch(String reported) {
        return MasticcroftException.of(
                ErrorCode.WEIGHTS_MISMATCH,
                Verdict.RAN,
                "the stream reports " + reported + " instead of " + expectedDigest);
    }
}
