package org.masticcroft.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticcroft.cli.fleet.Platform;
import org.masticcroft.cli.fleet.Sleeper;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.config.ConfigPeerHandler;
import org.masticcroft.ports.config.ConfigTracker;
import org.masticcroft.ports.config.TrackerSettings;
import org.masticcroft.ports.log.InMemoryLogService;
import org.masticcroft.ports.log.LogPage;
import org.masticcroft.wire.PeerServer;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.StatusReply;

/** Runs commands over HTTP and the peer protocol against one instance with a real configuration tracker. */
class HttpFleetTest {
    private static final String EXAMPLE_FOLDER =
            Path.of("..", "examples", "port").toString();
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    private final InMemoryLogService log = InMemoryLogService.of(TimeSource.system());
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private HttpServer server;
    private PeerServer peer;
    private ConfigTracker tracker;

    @BeforeEach
    void start() throws IOException {
        tracker = ConfigTracker.of(
                log,
                List::of,
                TimeSource.system(),
                RandomSource.SPLIT_MIX_64.create(1L),
                TrackerSettings.of("entry-1"));
        peer = PeerServer.of(
                ANY_PORT,
                tracker::version,
                ConfigPeerHandler.of(
                        tracker,
                        (request, responder) -> responder.finish(Envelope.newBuilder()
                                .setStatusReply(StatusReply.newBuilder()
                                        .setConfigVersion(tracker.version())
                                        .setConfigConfirmed(tracker.confirmed())))));
        server = HttpServer.create(ANY_PORT, 0);
        server.setExecutor(threads);
        server.createContext("/instances", this::listInstances);
        server.createContext("/streams/config/records", this::serveLog);
        server.start();
        tracker.start();
    }

    @AfterEach
    void stop() {
        tracker.close();
        peer.close();
        server.stop(0);
        threads.shutdownNow();
    }

    private void listInstances(HttpExchange exchange) throws IOException {
        respond(
                exchange,
                "{\"instances\":[{\"id\":\"entry-1\",\"role\":\"entry\",\"region\":\"r\",\"data_centre\":\"d\","
                        + "\"host\":\"127.0.0.1\",\"http_port\":1,\"admin_port\":2,\"peer_port\":"
                        + peer.address().getPort() + ",\"state\":\"live\"}]}");
    }

    private void serveLog(HttpExchange exchange) throws IOException {
        if ("POST".equals(exchange.getRequestMethod())) {
            long offset = log.append("config", exchange.getRequestBody().readAllBytes());
            respond(exchange, "{\"offset\":" + offset + "}");
            return;
        }
        Map<String, Long> query = new HashMap<>();
        for (String part : exchange.getRequestURI().getQuery().split("&")) {
            query.put(part.split("=")[0], Long.valueOf(part.split("=")[1]));
        }
        LogPage page = log.read(
                "config", query.get("from"), query.get("max").intValue(), Duration.ofMillis(query.get("wait_ms")));
        String records = page.records().stream()
                .map(entry -> "{\"offset\":" + entry.offset() + ",\"time_ms\":"
                        + entry.time().toEpochMilli() + ",\"data\":\""
                        + Base64.getEncoder().encodeToString(entry.data()) + "\"}")
                .collect(Collectors.joining(","));
        respond(
                exchange,
                "{\"earliest\":" + page.earliest() + ",\"next\":" + page.next() + ",\"records\":[" + records + "]}");
    }

    private static void respond(HttpExchange exchange, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private int run(StringWriter out, String... arguments) {
        String url = "http://127.0.0.1:" + server.getAddress().getPort();
        CliContext context = new CliContext(
                Map.of(
                        "MASTICCROFT_LOG_URL",
                        url,
                        "MASTICCROFT_INSTANCES_URL",
                        url,
                        "MASTICCROFT_PEER_TIMEOUT",
                        "30s",
                        "MASTICCROFT_WAIT",
                        "60s"),
                Platform.http(),
                TimeSource.system(),
                Sleeper.system(),
                new ByteArrayInputStream(new byte[0]));
        return Main.commandLine(context)
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(out))
                .execute(arguments);
    }

    /** Guards against components that work together in memory but not over the network protocols. */
    @Test
    void publishesAndShowsStatusOverTheProtocols() {
        StringWriter out = new StringWriter();
        assertThat(run(out, "publish", EXAMPLE_FOLDER)).as(out.toString()).isEqualTo(ExitCodes.OK);
        assertThat(tracker.version()).isEqualTo(1);
        assertThat(run(out, "status")).as(out.toString()).isEqualTo(ExitCodes.OK);
        log.setAvailable(false);
        assertThat(run(out, "show")).as(out.toString()).isEqualTo(ExitCodes.OK);
        assertThat(out.toString()).contains("version = 1");
    }
}
