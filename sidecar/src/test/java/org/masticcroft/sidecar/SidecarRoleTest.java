package org.masticcroft.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.inject.AbstractModule;
import com.google.inject.Guice;
import com.google.protobuf.ByteString;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticcroft.account.writer.AccountWriter;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.instance.InstanceList;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.wire.NettyPeerClient;
import org.masticcroft.wire.PeerCallListener;
import org.masticcroft.wire.PeerClient;
import org.masticcroft.wire.PeerServer;
import org.masticcroft.wire.generated.ChunkReply;
import org.masticcroft.wire.generated.ChunkRequest;
import org.masticcroft.wire.generated.Dispatch;
import org.masticcroft.wire.generated.DispatchEnd;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.StatusReply;
import org.masticcroft.wire.generated.StatusRequest;

/** Runs the whole role over HTTP and the peer protocol, with threads and the real clock. */
class SidecarRoleTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final Fixture fixture = new Fixture();
    private final Weights weights = Weights.generate("v1", 20);
    private final ObjectMapper json = new ObjectMapper();
    private final CountDownLatch releaseCompletions = new CountDownLatch(1);
    private final PeerClient client = NettyPeerClient.of(() -> 1);
    private HttpServer server;
    private SidecarRole role;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/", this::handle);
        server.start();
        fixture.deploy(weights);
        URI url = URI.create("http://127.0.0.1:" + server.getAddress().getPort());
        SidecarSettings settings = new SidecarSettings(
                new SidecarSettings.Identity("s-1", "a", "r1", "d1"),
                new SidecarSettings.Upstream("e-1", Instance.Kind.ENGINE, "g", url),
                new SidecarSettings.Network(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        List.of(url),
                        "r1",
                        1 << 20,
                        1 << 20),
                SidecarSettings.Limits.defaults(),
                Fixture.LOG_RETENTION);
        role = Guice.createInjector(new ProcessBindings(), SidecarModule.of(settings))
                .getInstance(SidecarRole.class);
        role.start();
        await(role::ready);
    }

    @AfterEach
    void stop() {
        releaseCompletions.countDown();
        role.close();
        client.close();
        server.stop(0);
    }

    /** Guards against faults in the interaction of rollout, status, upload and dispatch. */
    @Test
    void loadsWeightsAndServesPeersAndRequests() throws Exception {
        releaseCompletions.countDown();
        StatusReply status = call(Envelope.newBuilder().setStatusRequest(StatusRequest.getDefaultInstance()))
                .getStatusReply();
        assertThat(status.getReady(0).getWeightsDigest()).isEqualTo(status.getTargetDigest());
        assertThat(status.getChunksHeld()).isEqualTo(20);
        ChunkReply chunk = call(Envelope.newBuilder()
                        .setChunkRequest(ChunkRequest.newBuilder()
                                .setWeightsDigest(status.getTargetDigest())
                                .setIndex(3)))
                .getChunkReply();
        assertThat(chunk.getData().toByteArray()).isEqualTo(weights.chunks().get(3));
        assertThat(dispatch("r-1").get(20, TimeUnit.SECONDS).getErrorCode()).isEmpty();
    }

    /** Guards against entries that keep sending work to a sidecar that is leaving. */
    @Test
    void notifiesEntriesWhenLeaving() throws Exception {
        CompletableFuture<String> leaving = new CompletableFuture<>();
        try (PeerServer entry = PeerServer.of(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                () -> 1,
                (request, responder) ->
                        leaving.complete(request.getLeavingNotice().getUpstream()))) {
            fixture.instances.add(new Instance(
                    "entry-1",
                    Instance.Role.ENTRY,
                    "r1",
                    "d1",
                    "127.0.0.1",
                    0,
                    0,
                    entry.address().getPort(),
                    Instance.State.LIVE,
                    Optional.empty()));
            role.beginDrain();
            assertThat(leaving.get(20, TimeUnit.SECONDS)).isEqualTo("e-1");
        }
    }

    /** Guards against a planned stop that interrupts running work or accepts new work. */
    @Test
    void drainsWithRunningWork() throws Exception {
        CompletableFuture<DispatchEnd> running = dispatch("r-1");
        await(() -> !fixture.engine.requests.isEmpty());
        role.beginDrain();
        assertThat(role.ready()).isFalse();
        assertThat(dispatch("r-2").get(20, TimeUnit.SECONDS).getErrorCode()).isEqualTo("DRAINING");
        assertThat(role.awaitDrained(Duration.ofMillis(50))).isFalse();
        releaseCompletions.countDown();
        assertThat(running.get(20, TimeUnit.SECONDS).getErrorCode()).isEmpty();
        assertThat(role.awaitDrained(TIMEOUT)).isTrue();
    }

    private CompletableFuture<DispatchEnd> dispatch(String id) {
        CompletableFuture<DispatchEnd> end = new CompletableFuture<>();
        Dispatch.Builder dispatch = Dispatch.newBuilder()
                .setRequestId(id)
                .setAttempt(1)
                .setUpstream("e-1")
                .setMethod("POST")
                .setPath("/v1/chat/completions")
                .setBody(ByteString.copyFromUtf8("{}"))
                .setStream(true)
                .setWeightsDigest(weights.manifest().digest().value())
                .setRemainingMs(30_000)
                .setIdempotent(true);
        client.open(role.peerAddress(), Envelope.newBuilder().setDispatch(dispatch), new PeerCallListener() {
            @Override
            public void onReply(Envelope reply) {
                if (reply.hasDispatchEnd()) {
                    end.complete(reply.getDispatchEnd());
                }
            }

            @Override
            public void onFailure(MasticcroftException failure) {
                end.completeExceptionally(failure);
            }
        });
        return end;
    }

    private Envelope call(Envelope.Builder request) throws Exception {
        return client.call(role.peerAddress(), request, TIMEOUT).get();
    }

    private static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("condition was not met in time").isLessThan(deadlineNanos);
            Thread.onSpinWait();
        }
    }

    /** Serves both as weight store and as engine. */
    private void handle(HttpExchange exchange) throws IOException {
        String[] path = exchange.getRequestURI().getPath().split("/");
        byte[] body = exchange.getRequestBody().readAllBytes();
        String operation = exchange.getRequestMethod() + " " + path[1] + " " + path[2];
        byte[] response = switch (operation) {
            case "GET weights m" ->
                path[4].equals("manifest")
                        ? json.writeValueAsBytes(weights.manifest())
                        : weights.chunks().get(Integer.parseInt(path[5]));
            case "GET admin state" -> json.writeValueAsBytes(fixture.engine.state());
            case "PUT admin weights" ->
                json.writeValueAsBytes(
                        Map.of("sha256", fixture.engine.putChunk(digest(path[3]), Integer.parseInt(path[5]), body)));
            case "GET admin weights" -> fixture.engine.chunk(digest(path[3]), Integer.parseInt(path[5]));
            case "POST admin load" -> load(json.readTree(body));
            case "POST v1 chat" -> completion(exchange);
            default -> new byte[0];
        };
        exchange.sendResponseHeaders(200, response.length == 0 ? -1 : response.length);
        exchange.getResponseBody().write(response);
        exchange.close();
    }

    private byte[] load(JsonNode command) {
        return fixture.engine
                .load(weights.manifest(), command.path("fence").asLong())
                .name()
                .getBytes();
    }

    private byte[] completion(HttpExchange exchange) throws IOException {
        fixture.engine.requests.add(null);
        try {
            releaseCompletions.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        String digest = weights.manifest().digest().value();
        exchange.getResponseHeaders().set("X-Weights-Digest", digest);
        exchange.getResponseHeaders()
                .set("X-Engine-Incarnation", fixture.engine.state().incarnation());
        return FakeEngine.completeStream(digest).getBytes();
    }

    private static WeightsDigest digest(String text) {
        return WeightsDigest.of(text);
    }

    /** The bindings that the process provides in production. */
    private final class ProcessBindings extends AbstractModule {
        @Override
        protected void configure() {
            bind(TimeSource.class).toInstance(TimeSource.system());
            bind(LogService.class).toInstance(fixture.log);
            bind(InstanceList.class).toInstance(() -> fixture.instances);
            bind(ConfigView.class).toInstance(fixture.config);
            bind(AccountWriter.class).toInstance(fixture.account);
            bind(PeerClient.class).toInstance(client);
            bind(MetricRegistry.class).toInstance(fixture.metrics);
            bind(UniformRandomProvider.class).toInstance(RandomSource.XO_RO_SHI_RO_128_PP.create(3));
        }
    }
}
