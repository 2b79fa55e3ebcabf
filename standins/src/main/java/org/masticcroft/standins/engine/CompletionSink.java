package org.masticcroft.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.masticcroft.standins.http.Call;
import org.masticcroft.standins.http.Json;

/** Sends an answer to its caller, either as a stream of server-sent events or as one JSON body. */
final class CompletionSink {
    private static final byte[] DATA = "data: ".getBytes(StandardCharsets.UTF_8);
    private static final byte[] END_OF_EVENT = "\n\n".getBytes(StandardCharsets.UTF_8);
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
    private static final int CANCELLED_STATUS = 499;

    private final Call call;
    private final Completion completion;
    private final StringBuilder text = new StringBuilder();
    private OutputStream stream;

    private CompletionSink(Call call, Completion completion) {
        this.call = call;
        this.completion = completion;
    }

    static CompletionSink of(Call call, Completion completion) {
        return new CompletionSink(call, completion);
    }

    /** Adds one token; a streamed answer sends it immediately. */
    void token(String token) throws IOException {
        if (!completion.stream()) {
            text.append(token);
            return;
        }
        ObjectNode event = newEvent();
        addChoice(event).putNull("finish_reason").putObject("delta").put("content", token);
        send(event);
    }

    /** Completes the response with its finish reason and token usage. */
    void end(String outcome, int produced, int cachedTokens) throws IOException {
        if (completion.stream()) {
            ObjectNode event = newEvent();
            addChoice(event).put("finish_reason", finishReason(outcome)).putObject("delta");
            addUsage(event, produced, cachedTokens);
            send(event);
            stream.write(DONE);
            stream.close();
        } else if (outcome.equals("cancelled")) {
            call.respondError(CANCELLED_STATUS, "cancelled", "cancelled while running");
        } else {
            ObjectNode body = newEvent().put("object", "chat.completion");
            addChoice(body)
                    .put("finish_reason", finishReason(outcome))
                    .putObject("message")
                    .put("role", "assistant")
                    .put("content", text.toString());
            addUsage(body, produced, cachedTokens);
            call.respond(200, body);
        }
    }

    private static String finishReason(String outcome) {
        return outcome.equals("cancelled") ? "cancelled" : "length";
    }

    private ObjectNode newEvent() {
        return Json.object()
                .put("id", completion.requestId())
                .put("object", "chat.completion.chunk")
                .put("created", System.currentTimeMillis() / 1000)
                .put("model", completion.model());
    }

    private static ObjectNode addChoice(ObjectNode event) {
        return event.putArray("choices").addObject().put("index", 0);
    }

    private void addUsage(ObjectNode event, int produced, int cachedTokens) {
        event.putObject("usage")
                .put("prompt_tokens", completion.promptTokens())
                .put("completion_tokens", produced)
                .put("total_tokens", completion.promptTokens() + produced)
                .putObject("prompt_tokens_details")
                .put("cached_tokens", cachedTokens);
        event.put("weights_digest", completion.weights());
    }

    private void send(ObjectNode event) throws IOException {
        if (stream == null) {
            call.setHeader("Content-Type", "text/event-stream");
            stream = call.respondChunked(200);
        }
        stream.write(DATA);
        stream.write(Json.bytes(event));
        stream.write(END_OF_EVENT);
        stream.flush();
    }
}
