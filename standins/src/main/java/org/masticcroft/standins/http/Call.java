package org.masticcroft.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** One HTTP exchange: reads the request and sends the response. */
public final class Call {
    private final HttpExchange exchange;
    private final Map<String, String> pathParameters;
    private final Map<String, String> query;
    private boolean responded;

    private Call(HttpExchange exchange, Map<String, String> pathParameters) {
        this.exchange = exchange;
        this.pathParameters = pathParameters;
        this.query = parseQuery(exchange.getRequestURI().getRawQuery());
    }

    static Call of(HttpExchange exchange, Map<String, String> pathParameters) {
        return new Call(exchange, pathParameters);
    }

    /** Returns the HTTP method. */
    public String method() {
        return exchange.getRequestMethod();
    }

    /** Returns the path with its query, as sent. */
    public String target() {
        return exchange.getRequestURI().toString();
    }

    /** Returns a parameter of the path template. */
    public String path(String name) {
        return pathParameters.get(name);
    }

    /**
     * Returns a number in the path.
     *
     * @throws HttpFailure with status 400 if it is not a number
     */
    public int pathNumber(String name) {
        return (int) number(name, path(name));
    }

    /** Returns a number from the query, or {@code defaultValue}. */
    public long queryNumber(String name, long defaultValue) {
        String text = query.get(name);
        return text == null ? defaultValue : number(name, text);
    }

    /** Returns a string from the query, or {@code defaultValue}. */
    public String queryText(String name, String defaultValue) {
        return query.getOrDefault(name, defaultValue);
    }

    /** Returns a request header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
    }

    /** Reads the whole request body. */
    public byte[] body() throws IOException {
        return exchange.getRequestBody().readAllBytes();
    }

    /** Reads the request body as a JSON object. */
    public ObjectNode jsonBody() throws IOException {
        return Json.parseObject(body());
    }

    /** Sets a response header. */
    public Call setHeader(String header, String value) {
        exchange.getResponseHeaders().set(header, value);
        return this;
    }

    /** Responds with JSON. */
    public void respond(int status, JsonNode json) throws IOException {
        setHeader("Content-Type", "application/json");
        respond(status, Json.bytes(json));
    }

    /** Responds with bytes. */
    public void respond(int status, byte[] data) throws IOException {
        try (OutputStream out = respond(status, data.length)) {
            out.write(data);
        }
    }

    /** Starts a response of a known length and returns its body. */
    public OutputStream respond(int status, int length) throws IOException {
        responded = true;
        exchange.sendResponseHeaders(status, length == 0 ? -1 : length);
        return exchange.getResponseBody();
    }

    /** Starts a chunked response and returns its body; each flush sends the bytes written so far. */
    public OutputStream respondChunked(int status) throws IOException {
        responded = true;
        exchange.sendResponseHeaders(status, 0);
        return exchange.getResponseBody();
    }

    /** Responds with a JSON error. */
    public void respondError(int status, String code, String message) throws IOException {
        ObjectNode json = Json.object();
        json.putObject("error").put("code", code).put("message", message);
        respond(status, json);
    }

    /** Closes the connection without completing a response. */
    public void drop() {
        responded = true;
        exchange.close();
    }

    boolean hasResponded() {
        return responded;
    }

    private static long number(String name, String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw HttpFailure.of(400, "malformed", name + " is not a number: " + text);
        }
    }

    private static Map<String, String> parseQuery(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    query.put(
                            pair.substring(0, equals),
                            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
        }
        return query;
    }
}
