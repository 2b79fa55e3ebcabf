package org.masticcroft.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.StringJoiner;
import java.util.UUID;
import org.masticcroft.standins.digest.Sha256;
import org.masticcroft.standins.http.HttpFailure;

/**
 * A completion request as parsed from its JSON body.
 *
 * @param requestId id for cancellation and the ledger
 * @param model name that the response repeats
 * @param weights digest of the weights to use
 * @param prompt contents of all messages, joined by line feeds
 * @param promptSha256 SHA-256 of the prompt
 * @param priority 0 is the most urgent, 9 the least
 * @param tokens length of the whole answer in tokens
 * @param resumeFrom index of the first token to produce
 * @param stream whether the answer is streamed
 */
record Completion(
        String requestId,
        String model,
        String weights,
        String prompt,
        String promptSha256,
        int priority,
        int tokens,
        int resumeFrom,
        boolean stream) {
    private static final int LOWEST_PRIORITY = 9;

    /**
     * Parses a request body.
     *
     * @throws HttpFailure with status 400 if it is malformed
     */
    static Completion parse(ObjectNode body, int defaultTokens) {
        String prompt = prompt(body);
        int tokens =
                body.path("max_tokens").asInt(body.path("max_completion_tokens").asInt(defaultTokens));
        int resumeFrom = body.path("resume_from").asInt(0);
        if (!body.path("weights").isTextual()) {
            throw HttpFailure.of(400, "malformed", "weights is required");
        }
        if (tokens < 1 || resumeFrom < 0 || resumeFrom > tokens) {
            throw HttpFailure.of(400, "malformed", "max_tokens or resume_from out of range");
        }
        return new Completion(
                body.path("request_id").asText(UUID.randomUUID().toString()),
                body.path("model").asText(""),
                body.path("weights").asText(),
                prompt,
                Sha256.hex(prompt),
                body.path("priority").asInt(LOWEST_PRIORITY),
                tokens,
                resumeFrom,
                body.path("stream").asBoolean(false));
    }

    /** Returns the number of prompt tokens, at four characters a token. */
    int promptTokens() {
        return Math.max(1, prompt.length() / 4);
    }

    private static String prompt(ObjectNode body) {
        if (!body.path("messages").isArray() || body.path("messages").isEmpty()) {
            throw HttpFailure.of(400, "malformed", "messages is required");
        }
        StringJoiner prompt = new StringJoiner("\n");
        for (JsonNode message : body.path("messages")) {
            JsonNode content = message.path("content");
            prompt.add(content.isTextual() ? content.asText() : content.toString());
        }
        return prompt.toString();
    }
}
