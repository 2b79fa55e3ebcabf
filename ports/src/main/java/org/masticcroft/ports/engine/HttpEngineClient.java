package org.masticcroft.ports.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.ports.service.HttpServiceClient;
import org.masticcroft.ports.service.UpstreamCall;
import org.masticcroft.ports.service.UpstreamRequest;
import org.masticcroft.ports.service.UpstreamResponse;
import org.masticcroft.ports.weights.Manifest;

/** {@link EngineClient} over HTTP/1.1. */
public final class HttpEngineClient implements EngineClient {
    private static final Duration STATE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CHUNK_TIMEOUT = Duration.ofSeconds(10);
    /** Long, because a load copies the weights from the staging area into the accelerators. */
    private static final Duration LOAD_TIMEOUT = Duration.ofMinutes(2);

    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int INCOMPLETE = 422;
    /** Status of a request that was cancelled at the engine before its response began. */
    private static final int CANCELLED = 499;

    private static final int UNAVAILABLE = 503;
    private static final int OUT_OF_MEMORY = 507;
    private static final int MAX_ERROR_BYTES = 64 << 10;

    private final HttpClient client;
    private final String base;
    private final HttpServiceClient serviceClient;
    private final ObjectMapper json = new ObjectMapper();

    private HttpEngineClient(HttpClient client, URI base) {
        this.client = client;
        this.base = base.toString().replaceAll("/+$", "");
        this.serviceClient = HttpServiceClient.of(client, base);
    }

    /** Creates a client of the engine at {@code base}. */
    public static HttpEngineClient of(HttpClient client, URI base) {
        return new HttpEngineClient(Objects.requireNonNull(client, "client"), Objects.requireNonNull(base, "base"));
    }

    @Override
    public UpstreamCall open(EngineRequest request) {
        UpstreamCall call = serviceClient.open(new UpstreamRequest(
                request.requestId(), "POST", request.path(), "application/json", body(request), true));
        return new ServingCall(call);
    }

    @Override
    public void cancel(String requestId) {
        send("POST", "/v1/requests/" + encode(requestId) + "/cancel", new byte[0], STATE_TIMEOUT);
    }

    @Override
    public EngineState state() {
        HttpResponse<byte[]> response = send("GET", "/admin/state", new byte[0], STATE_TIMEOUT);
        requireOk(response, "state");
        try {
            return json.readValue(response.body(), EngineState.class);
        } catch (IOException e) {
            throw malformed("state", e);
        }
    }

    @Override
    public String putChunk(WeightsDigest digest, int index, byte[] data) {
        HttpResponse<byte[]> response = send("PUT", chunkPath(digest, index), data, CHUNK_TIMEOUT);
        requireOk(response, "put chunk");
        try {
            return json.readTree(response.body()).path("sha256").asText();
        } catch (IOException e) {
            throw malformed("put chunk", e);
        }
    }

    @Override
    public byte[] chunk(WeightsDigest digest, int index) {
        HttpResponse<byte[]> response = send("GET", chunkPath(digest, index), new byte[0], CHUNK_TIMEOUT);
        requireOk(response, "get chunk");
        return response.body();
    }

    @Override
    public void dropStaged(WeightsDigest digest) {
        HttpResponse<byte[]> response = send("DELETE", "/admin/weights/" + digest.value(), new byte[0], CHUNK_TIMEOUT);
        if (response.statusCode() != NOT_FOUND) {
            requireOk(response, "drop staged");
        }
    }

    @Override
    public CommandResult load(Manifest manifest, long fence) {
        ObjectNode command = json.createObjectNode();
        command.put("model", manifest.model())
                .put("version", manifest.version())
                .put("digest", manifest.digest().value());
        command.set("chunks", json.valueToTree(manifest.chunks()));
        command.put("fence", fence);
        return commandResult(send("POST", "/admin/load", bytes(command), LOAD_TIMEOUT));
    }

    @Override
    public CommandResult unload(WeightsDigest digest, long fence) {
        ObjectNode command =
                json.createObjectNode().put("digest", digest.value()).put("fence", fence);
        return commandResult(send("POST", "/admin/unload", bytes(command), LOAD_TIMEOUT));
    }

    private byte[] body(EngineRequest request) {
        try {
            if (!(json.readTree(request.body()) instanceof ObjectNode body)) {
                throw MasticcroftException.notRun(ErrorCode.MALFORMED_REQUEST, "the body is not a JSON object");
            }
            body.put("weights", request.weights().value())
                    .put("priority", request.priority())
                    .put("request_id", request.requestId())
                    .put("stream", request.stream());
            if (request.resumeFrom() > 0) {
                body.put("resume_from", request.resumeFrom());
            }
            return bytes(body);
        } catch (IOException e) {
            throw MasticcroftException.of(
                    ErrorCode.MALFORMED_REQUEST, Verdict.NOT_RUN, "the body is not valid JSON", e);
        }
    }

    private byte[] bytes(JsonNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    private CommandResult commandResult(HttpResponse<byte[]> response) {
        return switch (response.statusCode()) {
            case 200, 204 -> CommandResult.DONE;
            case CONFLICT ->
                errorText(response.body()).contains("fence_rejected")
                        ? CommandResult.FENCE_REJECTED
                        : CommandResult.REFUSED;
            case INCOMPLETE -> CommandResult.INCOMPLETE;
            case OUT_OF_MEMORY -> CommandResult.OUT_OF_MEMORY;
            default -> CommandResult.REFUSED;
        };
    }

    private HttpResponse<byte[]> send(String method, String path, byte[] body, Duration timeout) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(base + path))
                .timeout(timeout)
                .method(
                        method,
                        body.length == 0
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        CompletableFuture<HttpResponse<byte[]>> pending =
                client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
        try {
            return pending.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            boolean notConnected =
                    e.getCause() instanceof ConnectException || e.getCause() instanceof HttpConnectTimeoutException;
            throw failed(notConnected ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN, method + " " + path, e.getCause());
        } catch (TimeoutException e) {
            pending.cancel(true);
            throw failed(Verdict.MAY_HAVE_RUN, method + " " + path, e);
        } catch (InterruptedException e) {
            pending.cancel(true);
            Thread.currentThread().interrupt();
            throw failed(Verdict.MAY_HAVE_RUN, method + " " + path, e);
        }
    }

    private static MasticcroftException failed(Verdict verdict, String operation, Throwable cause) {
        return MasticcroftException.of(
                ErrorCode.UPSTREAM_FAILED, verdict, "engine request failed: " + operation + ": " + cause, cause);
    }

    private static MasticcroftException malformed(String operation, Throwable cause) {
        return MasticcroftException.of(
                ErrorCode.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN, "malformed engine response to " + operation, cause);
    }

    private static void requireOk(HttpResponse<byte[]> response, String operation) {
        if (response.statusCode() / 100 != 2) {
            throw MasticcroftException.notRun(
                    ErrorCode.UPSTREAM_REJECTED,
                    "the engine rejected " + operation + ": status " + response.statusCode());
        }
    }

    private static String errorText(byte[] body) {
        return new String(body, StandardCharsets.UTF_8);
    }

    private static String chunkPath(WeightsDigest digest, int index) {
        return "/admin/weights/" + digest.value() + "/chunks/" + index;
    }

    private static String encode(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /** Translates error statuses of the engine into exceptions with the matching verdict. */
    private record ServingCall(UpstreamCall call) implements UpstreamCall {
        @Override
        public UpstreamResponse await() {
            UpstreamResponse response = call.await();
            switch (response.status()) {
                case CONFLICT, UNAVAILABLE, CANCELLED -> throw refusal(response.status(), read(response));
                default -> {
                    return response;
                }
            }
        }

        @Override
        public void abort() {
            call.abort();
        }

        private static MasticcroftException refusal(int status, String error) {
            if (status == CONFLICT && error.contains("weights_not_loaded")) {
                return MasticcroftException.notRun(
                        ErrorCode.WEIGHTS_NOT_LOADED, "the engine has not loaded the weights");
            }
            if (status == UNAVAILABLE && error.contains("overloaded")) {
                return MasticcroftException.notRun(ErrorCode.BUSY, "the engine is overloaded");
            }
            return MasticcroftException.of(
                    status == CANCELLED ? ErrorCode.CANCELLED : ErrorCode.UPSTREAM_FAILED,
                    Verdict.MAY_HAVE_RUN,
                    "the engine responded with status " + status);
        }

        private static String read(UpstreamResponse response) {
            try (var body = response.body()) {
                return new String(body.readNBytes(MAX_ERROR_BYTES), StandardCharsets.UTF_8);
            } catch (IOException e) {
                return "";
            }
        }
    }
}
