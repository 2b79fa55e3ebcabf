package org.masticcroft.ports.service;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.channels.UnresolvedAddressException;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicReference;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;

/** {@link ServiceClient} over HTTP/1.1. */
public final class HttpServiceClient implements ServiceClient {
    private static final int CONNECT_CHECK_TIMEOUT_MILLIS = 1000;
    /** The JDK client silently retries these methods when a connection closes before the response. */
    private static final Set<String> RETRIED_BY_CLIENT = Set.of("GET", "HEAD");

    private final HttpClient client;
    private final String base;

    private HttpServiceClient(HttpClient client, String base) {
        this.client = client;
        this.base = base;
    }

    /** Creates a client of the upstream at {@code base}. */
    public static HttpServiceClient of(HttpClient client, URI base) {
        Objects.requireNonNull(client, "client");
        return new HttpServiceClient(client, base.toString().replaceAll("/+$", ""));
    }

    @Override
    public UpstreamCall open(UpstreamRequest request) {
        if (!request.idempotent() && RETRIED_BY_CLIENT.contains(request.method())) {
            throw MasticcroftException.notRun(
                    ErrorCode.UPSTREAM_REJECTED,
                    "a non-idempotent call cannot use a method that the HTTP client may retry: " + request.method());
        }
        HttpRequest httpRequest = httpRequest(request);
        return new HttpCall(client.sendAsync(httpRequest, HttpResponse.BodyHandlers.ofInputStream()));
    }

    @Override
    public boolean acceptsConnections() {
        URI uri = URI.create(base);
        int port = uri.getPort() >= 0 ? uri.getPort() : 80;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(uri.getHost(), port), CONNECT_CHECK_TIMEOUT_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private HttpRequest httpRequest(UpstreamRequest request) {
        try {
            HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create(base + request.path()))
                    .method(
                            request.method(),
                            request.body().length == 0
                                    ? HttpRequest.BodyPublishers.noBody()
                                    : HttpRequest.BodyPublishers.ofByteArray(request.body()));
            builder.header("X-Request-Id", request.requestId());
            if (!request.contentType().isEmpty()) {
                builder.header("Content-Type", request.contentType());
            }
            return builder.build();
        } catch (IllegalArgumentException e) {
            throw MasticcroftException.of(
                    ErrorCode.MALFORMED_REQUEST,
                    Verdict.NOT_RUN,
                    "cannot send the call to the upstream: " + e.getMessage(),
                    e);
        }
    }

    /**
     * Classifies a failed exchange.
     *
     * @return a failure with verdict {@code NOT_RUN} if no connection was established, otherwise {@code MAY_HAVE_RUN}
     */
    static MasticcroftException classify(Throwable failure) {
        boolean notConnected = failure instanceof ConnectException
                || failure instanceof HttpConnectTimeoutException
                || failure instanceof UnresolvedAddressException;
        Verdict verdict = notConnected ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
        String message = notConnected ? "cannot connect to the upstream" : "connection to the upstream failed";
        return MasticcroftException.of(ErrorCode.UPSTREAM_FAILED, verdict, message + ": " + failure, failure);
    }

    private static final class HttpCall implements UpstreamCall {
        private final CompletableFuture<HttpResponse<InputStream>> pending;
        private final AtomicReference<InputStream> body = new AtomicReference<>();

        private HttpCall(CompletableFuture<HttpResponse<InputStream>> pending) {
            this.pending = pending;
        }

        @Override
        public UpstreamResponse await() {
            try {
                return response(pending.get());
            } catch (ExecutionException e) {
                throw classify(e.getCause());
            } catch (CancellationException e) {
                throw MasticcroftException.of(
                        ErrorCode.CANCELLED, Verdict.MAY_HAVE_RUN, "the call to the upstream was cancelled", e);
            } catch (InterruptedException e) {
                abort();
                Thread.currentThread().interrupt();
                throw MasticcroftException.of(
                        ErrorCode.CANCELLED, Verdict.MAY_HAVE_RUN, "interrupted while waiting for the upstream", e);
            }
        }

        @Override
        public void abort() {
            pending.cancel(true);
            pending.thenAccept(response -> closeQuietly(response.body()));
            closeQuietly(body.get());
        }

        private UpstreamResponse response(HttpResponse<InputStream> response) {
            body.set(response.body());
            return new UpstreamResponse(
                    response.statusCode(),
                    response.headers().firstValue("Content-Type").orElse(""),
                    response.headers().firstValue("X-Weights-Digest"),
                    response.headers().firstValue("X-Engine-Incarnation"),
                    response.body());
        }

        private static void closeQuietly(InputStream stream) {
            if (stream == null) {
                return;
            }
            try {
                stream.close();
            } catch (IOException e) {
                // Ignored: the connection is not used again.
            }
        }
    }
}
