package org.masticcroft.sidecar.dispatch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;

/** Filter for a non-streaming response of an engine, which is one JSON object. It is forwarded only when complete. */
final class CompletionResponseFilter implements ResponseFilter {
    /**
     * Maximum size of a response. 128 concurrent responses of this size would not fit into memory, but a response of
     * 4,096 tokens takes only about 20 KB.
     */
    static final int MAX_BYTES = 4 << 20;

    /** Finish reason of a response whose request was cancelled at the engine. */
    static final String CANCELLED = "cancelled";

    private static final ObjectMapper JSON = new ObjectMapper();

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Usage usage = Usage.NONE;

    @Override
    public void accept(byte[] data, int length, ByteArrayOutputStream output) {
        body.write(data, 0, length);
        if (body.size() > MAX_BYTES) {
            throw incomplete("the response is larger than " + MAX_BYTES + " bytes", null);
        }
    }

    @Override
    public void end(ByteArrayOutputStream output) {
        byte[] bytes = body.toByteArray();
        JsonNode message = parse(bytes);
        requireNotCancelled(message);
        usage = usageOf(message);
        output.writeBytes(bytes);
    }

    @Override
    public Usage usage() {
        return usage;
    }

    static Usage usageOf(JsonNode message) {
        JsonNode usage = message.path("usage");
        return new Usage(
                usage.path("prompt_tokens").asInt(),
                usage.path("completion_tokens").asInt());
    }

    /** Rejects a well-formed response that is truncated because its request was cancelled at the engine. */
    static void requireNotCancelled(JsonNode message) {
        for (JsonNode choice : message.path("choices")) {
            if (choice.path("finish_reason").asText().equals(CANCELLED)) {
                throw MasticcroftException.of(
                        ErrorCode.CANCELLED, Verdict.MAY_HAVE_RUN, "the request was cancelled at the engine");
            }
        }
    }

    static MasticcroftException incomplete(String message, Throwable cause) {
        return MasticcroftException.of(ErrorCode.ANSWER_INCOMPLETE, Verdict.MAY_HAVE_RUN, message, cause);
    }

    private static JsonNode parse(byte[] bytes) {
        try {
            JsonNode message = JSON.readTree(bytes);
            if (message != null && message.isObject()) {
                return message;
            }
        } catch (IOException e) {
            throw incomplete("the response is not complete JSON", e);
        }
        throw incomplete("the response is not a JSON object", null);
    }
}
