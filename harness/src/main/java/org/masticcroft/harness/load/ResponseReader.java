package org.masticcroft.harness.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Flow;
import org.masticcroft.harness.json.Json;

/** Collects one response as it arrives, so that what came before a break is not lost. */
final class ResponseReader implements HttpResponse.BodyHandler<Void>, Flow.Subscriber<String> {
    private static final String DATA = "data:";
    private static final String EVENT = "event:";

    private final StringBuilder text = new StringBuilder();
    private HttpResponse.ResponseInfo head;
    private boolean isEventStream;
    private String event = "";
    private String error = "";
    private boolean done;
    private long firstTokenNanos;

    private ResponseReader() {}

    static ResponseReader create() {
        return new ResponseReader();
    }

    @Override
    public synchronized BodySubscriber<Void> apply(HttpResponse.ResponseInfo info) {
        head = info;
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
            text.append(line);
        } else if (line.startsWith(EVENT)) {
            event = line.substring(EVENT.length()).trim();
        } else if (line.startsWith(DATA)) {
            onData(line.substring(DATA.length()).trim());
        } else if (line.isEmpty()) {
            event = "";
        }
    }

    @Override
    public void onError(Throwable failure) {
        // The future of the exchange completes with the same failure.
    }

    @Override
    public synchronized void onComplete() {
        done |= !isEventStream;
    }

    synchronized int status() {
        return head == null ? 0 : head.statusCode();
    }

    synchronized String header(String name) {
        return head == null ? "" : head.headers().firstValue(name).orElse("");
    }

    /** Returns the answer of a completion, or the body as it is. */
    synchronized String answer(boolean chat) {
        if (isEventStream || !chat || status() != 200) {
            return isEventStream || status() == 200 ? text.toString() : "";
        }
        return tryParse(text.toString()).at("/choices/0/message/content").asText("");
    }

    /** Returns the error object of an error response or an error event; a missing node if there is none. */
    synchronized JsonNode error() {
        String body = isEventStream ? error : status() == 200 ? "" : text.toString();
        return tryParse(body).path("error");
    }

    /** Returns whether the response ended as a whole one does. */
    synchronized boolean isComplete() {
        return done && error.isEmpty();
    }

    /** Returns the monotonic time of the first token, 0 if there was none. */
    synchronized long firstTokenNanos() {
        return firstTokenNanos;
    }

    private void onData(String data) {
        if (event.equals("error")) {
            error = data;
        } else if (data.equals("[DONE]")) {
            done = true;
        } else {
            String token = tryParse(data).at("/choices/0/delta/content").asText("");
            if (!token.isEmpty() && firstTokenNanos == 0) {
                firstTokenNanos = System.nanoTime();
            }
            text.append(token);
        }
    }

    private static JsonNode tryParse(String json) {
        try {
            return Json.parse(json);
        } catch (IllegalArgumentException e) {
            return Json.object();
        }
    }
}
