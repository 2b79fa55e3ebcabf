package org.masticcroft.harness.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Flow;
import org.masticcroft.harness.json.Json;

/** Collects one response as it arrives, so that the part received before a connection failure is kept. */
final class ResponseReader implements HttpResponse.BodyHandler<Void>, Flow.Subscriber<String> {
    private static final String DATA_FIELD = "data:";
    private static final String EVENT_FIELD = "event:";

    private final StringBuilder content = new StringBuilder();
    private HttpResponse.ResponseInfo responseInfo;
    private boolean isEventStream;
    private String eventType = "";
    private String errorData = "";
    private boolean hasEnded;
    private long firstTokenNanos;

    private ResponseReader() {}

    static ResponseReader create() {
        return new ResponseReader();
    }

    @Override
    public synchronized BodySubscriber<Void> apply(HttpResponse.ResponseInfo info) {
        responseInfo = info;
        isEventStream = header("Content-Type").startsWith("text/event-stream");
        return BodySubscribers.fromLineSubscriber(this, self -> null, StandardCharsets.UTF_8, null);
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public synchronized void onNext(String line) {
        if (!isEventStream) {
            content.append(line);
        } else if (line.startsWith(EVENT_FIELD)) {
            eventType = line.substring(EVENT_FIELD.length()).trim();
        } else if (line.startsWith(DATA_FIELD)) {
            onData(line.substring(DATA_FIELD.length()).trim());
        } else if (line.isEmpty()) {
            eventType = "";
        }
    }

    @Override
    public void onError(Throwable failure) {
        // Ignored: the future of the exchange completes with the same failure.
    }

    @Override
    public synchronized void onComplete() {
        hasEnded |= !isEventStream;
    }

    synchronized int status() {
        return responseInfo == null ? 0 : responseInfo.statusCode();
    }

    synchronized String header(String name) {
        return responseInfo == null
                ? ""
                : responseInfo.headers().firstValue(name).orElse("");
    }

    /** Returns the answer of a chat completion, or the body of another response unchanged. */
    synchronized String answer(boolean isChat) {
        if (isEventStream || !isChat || status() != 200) {
            return isEventStream || status() == 200 ? content.toString() : "";
        }
        return parseOrEmpty(content.toString()).at("/choices/0/message/content").asText("");
    }

    /** Returns the error object of an error response or an error event; a missing node if there is none. */
    synchronized JsonNode error() {
        String body = isEventStream ? errorData : status() == 200 ? "" : content.toString();
        return parseOrEmpty(body).path("error");
    }

    /** Returns whether the response was received to its regular end and reported no error. */
    synchronized boolean isComplete() {
        return hasEnded && errorData.isEmpty();
    }

    /** Returns the monotonic time of the first token, 0 if there was none. */
    synchronized long firstTokenNanos() {
        return firstTokenNanos;
    }

    private void onData(String data) {
        if (eventType.equals("error")) {
            errorData = data;
        } else if (data.equals("[DONE]")) {
            hasEnded = true;
        } else {
            String token = parseOrEmpty(data).at("/choices/0/delta/content").asText("");
            if (!token.isEmpty() && firstTokenNanos == 0) {
                firstTokenNanos = System.nanoTime();
            }
            content.append(token);
        }
    }

    private static JsonNode parseOrEmpty(String json) {
        try {
            return Json.parse(json);
        } catch (IllegalArgumentException e) {
            return Json.object();
        }
    }
}
