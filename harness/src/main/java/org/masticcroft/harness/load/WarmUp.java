package org.masticcroft.harness.load;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;

/**
 * Warms up the HTTP client before the run with requests to a temporary local server. The first use of the client takes
 * hundreds of milliseconds for class loading, which would otherwise count as latency of the entries.
 */
final class WarmUp {
    private static final int REQUESTS = 200;
    private static final byte[] RESPONSE_EVENTS =
            "data: {\"choices\":[{\"delta\":{\"content\":\"t\"}}]}\n\ndata: [DONE]\n\n"
                    .getBytes(StandardCharsets.UTF_8);

    private WarmUp() {}

    static void run(HttpClient client) throws InterruptedException {
        try {
            HttpServer server =
                    HttpServer.create(new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), 0), 1);
            server.createContext("/", WarmUp::respond);
            server.start();
            try {
                send(client, server.getAddress().getPort());
            } finally {
                server.stop(0);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("warm-up of the client failed", e);
        }
    }

    private static void send(HttpClient client, int port) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/"))
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build();
        for (int i = 0; i < REQUESTS; i++) {
            client.send(request, ResponseReader.create());
        }
    }

    private static void respond(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        exchange.getResponseBody().write(RESPONSE_EVENTS);
        exchange.close();
    }
}
