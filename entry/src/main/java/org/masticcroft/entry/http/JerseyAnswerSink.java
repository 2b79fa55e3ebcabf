package org.masticcroft.entry.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import org.glassfish.jersey.server.ChunkedOutput;
import org.masticcroft.entry.order.StoredAnswer;
import org.masticcroft.entry.request.AnswerHeaders;
import org.masticcroft.entry.request.AnswerSink;
import org.masticcroft.entry.request.Failure;
import org.masticcroft.entry.upstream.Weights;

/** Sends the answer of one asynchronous Jersey request. */
final class JerseyAnswerSink implements AnswerSink {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String JSON = "application/json";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final long MILLIS_PER_SECOND = 1000;

    private final AsyncResponse response;
    private Optional<ChunkedOutput<byte[]>> stream = Optional.empty();

    JerseyAnswerSink(AsyncResponse response) {
        this.response = Objects.requireNonNull(response, "response");
    }

    @Override
    public void sendAnswer(AnswerHeaders headers, StoredAnswer answer) {
        Response.ResponseBuilder builder = Response.status(answer.status());
        if (answer.body().length > 0 || !answer.contentType().isEmpty()) {
            builder.entity(answer.body()).type(mediaType(answer.contentType()));
        }
        response.resume(addHeaders(builder, headers).build());
    }

    @Override
    public void beginStream(AnswerHeaders headers) {
        ChunkedOutput<byte[]> output = new ChunkedOutput<>(byte[].class);
        stream = Optional.of(output);
        response.resume(addHeaders(Response.ok(output), headers)
                .header(HttpHeaders.CONTENT_TYPE, EVENT_STREAM)
                .header(HttpHeaders.CACHE_CONTROL, "no-cache")
                .build());
    }

    @Override
    public boolean sendChunk(byte[] data) {
        try {
            ChunkedOutput<byte[]> output = stream.orElseThrow();
            output.write(data);
            return !output.isClosed();
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void endStream() {
        stream.ifPresent(output -> {
            try {
                output.close();
            } catch (IOException e) {
                // The caller disconnected after the last chunk; there is nothing left to send.
                stream = Optional.empty();
            }
        });
    }

    @Override
    public void sendFailure(AnswerHeaders headers, Failure failure) {
        byte[] body = errorBody(headers, failure);
        if (stream.isPresent()) {
            String event = "event: error\ndata: " + new String(body, StandardCharsets.UTF_8) + "\n\n";
            sendChunk(event.getBytes(StandardCharsets.UTF_8));
            endStream();
            return;
        }
        Response.ResponseBuilder builder = Response.status(failure.code().httpStatus())
                .entity(body)
                .header(HttpHeaders.CONTENT_TYPE, JSON)
                .header(Headers.VERDICT, failure.verdict());
        failure.retryAfter()
                .ifPresent(delay -> builder.header(
                        HttpHeaders.RETRY_AFTER,
                        Math.max(1, (delay.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)));
        response.resume(addHeaders(builder, headers).build());
    }

    /**
     * Returns the media type of an answer. An upstream may send none or a malformed one; the answer is then passed on
     * as {@code application/octet-stream}.
     */
    private static MediaType mediaType(String contentType) {
        try {
            return contentType.isEmpty() ? MediaType.APPLICATION_OCTET_STREAM_TYPE : MediaType.valueOf(contentType);
        } catch (IllegalArgumentException e) {
            return MediaType.APPLICATION_OCTET_STREAM_TYPE;
        }
    }

    private static Response.ResponseBuilder addHeaders(Response.ResponseBuilder builder, AnswerHeaders headers) {
        builder.header(Headers.REQUEST_ID, headers.requestId()).header(Headers.CONFIG_VERSION, headers.configVersion());
        headers.weights().ifPresent(weights -> addWeightsHeaders(builder, weights));
        headers.upstream().ifPresent(upstream -> builder.header(Headers.UPSTREAM, upstream));
        headers.unconfirmedConfigAge().ifPresent(age -> builder.header(Headers.CONFIG_UNCONFIRMED_MS, age.toMillis()));
        if (headers.replayed()) {
            builder.header(Headers.REPLAYED, true);
        }
        return builder;
    }

    private static void addWeightsHeaders(Response.ResponseBuilder builder, Weights weights) {
        builder.header(Headers.MODEL, weights.model())
                .header(Headers.VERSION, weights.version())
                .header(Headers.WEIGHTS_DIGEST, weights.digest());
    }

    private static byte[] errorBody(AnswerHeaders headers, Failure failure) {
        ObjectNode root = MAPPER.createObjectNode();
        root.putObject("error")
                .put("code", failure.code().name())
                .put("message", failure.message())
                .put("verdict", failure.verdict().name())
                .put("request_id", headers.requestId());
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of JSON nodes is always serialisable", e);
        }
    }
}
