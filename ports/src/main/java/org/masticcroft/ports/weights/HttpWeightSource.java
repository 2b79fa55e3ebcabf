package org.masticcroft.ports.weights;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
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

/** {@link WeightSource} that reads from one weight store or origin over HTTP. */
public final class HttpWeightSource implements WeightSource {
    private static final int STATUS_OK = 200;

    private final HttpClient client;
    private final URI base;
    private final Duration timeout;
    private final ObjectMapper json = new ObjectMapper();

    private HttpWeightSource(HttpClient client, URI base, Duration timeout) {
        this.client = client;
        this.base = base;
        this.timeout = timeout;
    }

    /**
     * Creates a source.
     *
     * @param base base URL, without the path {@code /weights}
     * @param timeout longest time for one response with its body
     */
    public static HttpWeightSource of(HttpClient client, URI base, Duration timeout) {
        return new HttpWeightSource(
                Objects.requireNonNull(client, "client"),
                Objects.requireNonNull(base, "base"),
                Objects.requireNonNull(timeout, "timeout"));
    }

    @Override
    public Manifest manifest(String model, String version, WeightsDigest expected) {
        byte[] body = get(versionPath(model, version) + "/manifest");
        Manifest manifest = parse(body);
        if (!manifest.digest().equals(expected)) {
            throw mismatch("manifest of " + model + " " + version + " has digest " + manifest.digest() + " instead of "
                    + expected);
        }
        return manifest;
    }

    @Override
    public byte[] chunk(Manifest manifest, int index) {
        byte[] data = get(versionPath(manifest.model(), manifest.version()) + "/chunks/" + index);
        if (!manifest.matches(index, data)) {
            throw mismatch("chunk " + index + " of " + manifest.model() + " " + manifest.version()
                    + " does not match its manifest (" + data.length + " bytes)");
        }
        return data;
    }

    @Override
    public String toString() {
        return base.toString();
    }

    private Manifest parse(byte[] body) {
        try {
            return json.readValue(body, Manifest.class);
        } catch (IOException e) {
            throw failed("malformed manifest", e);
        }
    }

    private byte[] get(String path) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(base.toString().replaceAll("/+$", "") + path))
                .timeout(timeout)
                .build();
        HttpResponse<byte[]> response = await(client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray()));
        if (response.statusCode() != STATUS_OK) {
            throw failed("status " + response.statusCode() + " for " + path, null);
        }
        return response.body();
    }

    /** Waits for the complete response; the timeout of the request itself covers only the response headers. */
    private HttpResponse<byte[]> await(CompletableFuture<HttpResponse<byte[]>> pending) {
        try {
            return pending.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw failed(String.valueOf(e.getCause().getMessage()), e.getCause());
        } catch (TimeoutException e) {
            pending.cancel(true);
            throw failed("no complete response within " + timeout.toMillis() + " ms", e);
        } catch (InterruptedException e) {
            pending.cancel(true);
            Thread.currentThread().interrupt();
            throw failed("interrupted", e);
        }
    }

    private MasticcroftException failed(String message, Throwable cause) {
        return MasticcroftException.of(
                ErrorCode.UPSTREAM_FAILED, Verdict.NOT_RUN, "weight source " + base + ": " + message, cause);
    }

    private MasticcroftException mismatch(String message) {
        return MasticcroftException.notRun(ErrorCode.WEIGHTS_MISMATCH, "weight source " + base + ": " + message);
    }

    private static String versionPath(String model, String version) {
        return "/weights/" + encode(model) + "/" + encode(version);
    }

    private static String encode(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
