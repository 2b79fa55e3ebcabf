package org.masticcroft.ports.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.id.WeightsDigest;

class RepeatedRefusalTest {
    private static final WeightsDigest DIGEST = WeightsDigest.of("sha256:" + "a".repeat(64));
    private static final String REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 10\r\n\r\noverloaded";
    private static final String SUCCESS = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final ServerSocket server;
    private int requests;

    RepeatedRefusalTest() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        startDaemon(this::accept);
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "test-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                startDaemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // The server was closed by the test.
        }
    }

    /** Refuses the first request; writes that refusal once more, if on the same connection, before each success. */
    private void serve(Socket socket) {
        try (socket) {
            boolean refused = false;
            while (readRequest(socket.getInputStream())) {
                boolean first = nextRequest() == 1;
                String response = first ? REFUSAL : refused ? REFUSAL + SUCCESS : SUCCESS;
                refused |= first;
                socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
            }
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    private synchronized int nextRequest() {
        return ++requests;
    }

    /** Reads the head and the body {@code {...}} of a request; returns false at the end of the connection. */
    private static boolean readRequest(InputStream in) throws IOException {
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '}') {
                return true;
            }
        }
        return false;
    }

    private static EngineRequest request(String id) {
        return new EngineRequest(id, "/v1/completions", "{}".getBytes(StandardCharsets.UTF_8), false, DIGEST, 0, 0);
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
    }

    /** Guards against a running request that is reported as not run, after the engine has repeated a refusal. */
    @Test
    @Tag("known-red")
    void isNotTakenForTheResponseToTheNextRequest() {
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        HttpEngineClient engine = HttpEngineClient.of(client, URI.create("http://127.0.0.1:" + server.getLocalPort()));
        assertThatThrownBy(() -> engine.open(request("q1")).await()).isInstanceOf(MasticcroftException.class);

        assertThat(engine.open(request("q2")).await().status()).isEqualTo(200);
    }
}
