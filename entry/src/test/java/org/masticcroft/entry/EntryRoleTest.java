package org.masticcroft.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.inject.AbstractModule;
import com.google.inject.Guice;
import com.google.inject.Module;
import com.google.inject.util.Modules;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.eclipse.jetty.ee10.servlet.ServletContextHandler;
import org.eclipse.jetty.ee10.servlet.ServletHolder;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.glassfish.jersey.server.ResourceConfig;
import org.glassfish.jersey.servlet.ServletContainer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.masticcroft.account.record.AuditRecord;
import org.masticcroft.account.record.RequestRecord;
import org.masticcroft.account.writer.AccountWriter;
import org.masticcroft.entry.policy.Policies;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.instance.InstanceList;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.wire.NettyPeerClient;
import org.masticcroft.wire.PeerClient;
import org.masticcroft.wire.PeerHandler;
import org.masticcroft.wire.PeerResponder;
import org.masticcroft.wire.PeerServer;
import org.masticcroft.wire.generated.Dispatch;
import org.masticcroft.wire.generated.DispatchChunk;
import org.masticcroft.wire.generated.DispatchEnd;
import org.masticcroft.wire.generated.DispatchHead;
import org.masticcroft.wire.generated.Envelope;

/** Tests the complete role over HTTP, with a sidecar in the test process. */
@Timeout(60)
class EntryRoleTest {
    private static final String EVENT = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    private static final String DONE = "data: [DONE]\n\n";

    private final EntryFixture fixture = EntryFixture.create();
    private final ConcurrentLinkedQueue<RequestRecord> records = new ConcurrentLinkedQueue<>();
    private final BlockingQueue<HeldDispatch> heldDispatches = new LinkedBlockingQueue<>();
    private final HttpClient http = HttpClient.newHttpClient();
    private boolean answerImmediately = true;
    private PeerServer sidecar;
    private PeerClient peers;
    private EntryRole role;
    private Server server;
    private URI base;

    private record HeldDispatch(Dispatch dispatch, PeerResponder responder) {}

    @BeforeEach
    void start() throws Exception {
        sidecar = PeerServer.of(new InetSocketAddress("127.0.0.1", 0), () -> 1, new Sidecar());
        int port = sidecar.address().getPort();
        fixture.instances.clear();
        fixture.engine("e1", port, EntryFixture.V1);
        peers = NettyPeerClient.of(() -> 1);
        Module module = Modules.override(EntryModule.of(EntrySettings.of("entry-a", "west", "dc-1")))
                .with(new FallbackPolicies());
        role = Guice.createInjector(module, new TestModule()).getInstance(EntryRole.class);
        role.start();
        server = new Server();
        ServerConnector connector = new ServerConnector(server);
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        ResourceConfig resources = new ResourceConfig();
        role.resources().forEach(resources::register);
        role.adminResources().forEach(resources::register);
        ServletContextHandler context = new ServletContextHandler("/");
        ServletHolder holder = new ServletHolder(new ServletContainer(resources));
        holder.setAsyncSupported(true);
        context.addServlet(holder, "/*");
        server.setHandler(context);
        server.start();
        base = URI.create("http://127.0.0.1:" + connector.getLocalPort());
        while (!status().path("upstreams").path(0).path("routable").asBoolean()) {
            Thread.onSpinWait();
        }
    }

    @AfterEach
    void stop() throws Exception {
        role.close();
        server.stop();
        peers.close();
        sidecar.close();
    }

    private JsonNode status() throws Exception {
        HttpRequest request = HttpRequest.newBuilder(base.resolve("/status")).build();
        return new ObjectMapper()
                .readTree(
                        http.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    private HttpRequest chat(boolean stream) {
        return request("secret", EntryFixture.CHAT + ",\"stream\":" + stream + "}");
    }

    private HttpRequest request(String key, String body) {
        return HttpRequest.newBuilder(base.resolve("/v1/chat/completions"))
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private HttpResponse<String> send(HttpRequest request) throws Exception {
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static void answer(HeldDispatch call, String type, String body) {
        Dispatch dispatch = call.dispatch;
        call.responder.send(head(dispatch, type));
        call.responder.send(chunk(0, body));
        call.responder.finish(Envelope.newBuilder().setDispatchEnd(end(dispatch, body)));
    }

    private static Envelope.Builder head(Dispatch dispatch, String type) {
        return Envelope.newBuilder()
                .setDispatchHead(DispatchHead.newBuilder()
                        .setRequestId(dispatch.getRequestId())
                        .setAttempt(dispatch.getAttempt())
                        .setStatus(200)
                        .setContentType(type));
    }

    private static Envelope.Builder chunk(int sequence, String data) {
        return Envelope.newBuilder()
                .setDispatchChunk(DispatchChunk.newBuilder()
                        .setSequence(sequence)
                        .setData(com.google.protobuf.ByteString.copyFromUtf8(data)));
    }

    private static DispatchEnd.Builder end(Dispatch dispatch, String body) {
        return DispatchEnd.newBuilder()
                .setRequestId(dispatch.getRequestId())
                .setAttempt(dispatch.getAttempt())
                .setVerdict(org.masticcroft.wire.generated.Verdict.RAN)
                .setByteCount(body.length())
                .setAnswerSha256(com.google.protobuf.ByteString.copyFrom(com.google.common.hash.Hashing.sha256()
                        .hashString(body, StandardCharsets.UTF_8)
                        .asBytes()))
                .setWeightsDigest(dispatch.getWeightsDigest());
    }

    @Nested
    class Http {
        @Test
        void answersWithAllHeaders() throws Exception {
            HttpResponse<String> response = send(chat(false));
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("{}");
            assertThat(response.headers().map().keySet().stream().map(String::toLowerCase))
                    .contains(
                            "x-masticcroft-request-id",
                            "x-masticcroft-model",
                            "x-masticcroft-version",
                            "x-masticcroft-weights-digest",
                            "x-masticcroft-upstream",
                            "x-masticcroft-config-version");
        }

        /** Guards against stream chunks that are buffered until the answer is complete. */
        @Test
        void flushesEachChunk() throws Exception {
            answerImmediately = false;
            CompletableFuture<HttpResponse<InputStream>> pending =
                    http.sendAsync(chat(true), HttpResponse.BodyHandlers.ofInputStream());
            HeldDispatch call = heldDispatches.take();
            call.responder.send(head(call.dispatch, "text/event-stream"));
            call.responder.send(chunk(0, EVENT));
            HttpResponse<InputStream> response = pending.get(20, TimeUnit.SECONDS);
            assertThat(new String(response.body().readNBytes(EVENT.length()), StandardCharsets.UTF_8))
                    .isEqualTo(EVENT);
            call.responder.send(chunk(1, DONE));
            call.responder.finish(Envelope.newBuilder().setDispatchEnd(end(call.dispatch, EVENT + DONE)));
            assertThat(new String(response.body().readAllBytes(), StandardCharsets.UTF_8))
                    .isEqualTo(DONE);
            assertThat(response.headers().firstValue("content-type")).contains("text/event-stream");
        }

        /** Guards against a failed stream that looks complete. */
        @Test
        void endsAFailedStreamWithAnErrorEvent() throws Exception {
            answerImmediately = false;
            CompletableFuture<HttpResponse<String>> pending =
                    http.sendAsync(chat(true), HttpResponse.BodyHandlers.ofString());
            HeldDispatch call = heldDispatches.take();
            call.responder.send(head(call.dispatch, "text/event-stream"));
            call.responder.send(chunk(0, EVENT));
            call.responder.finish(Envelope.newBuilder()
                    .setDispatchEnd(end(call.dispatch, EVENT).setErrorCode("CANCELLED")));
            String body = pending.get(20, TimeUnit.SECONDS).body();
            assertThat(body).startsWith(EVENT).contains("event: error\ndata: {\"error\":{\"code\":\"CANCELLED\"");
            assertThat(body).doesNotContain("[DONE]");
        }

        @Test
        void reportsErrorsWithCodeVerdictAndRequestId() throws Exception {
            HttpResponse<String> unknownKey = send(request("other", "{}"));
            assertThat(unknownKey.statusCode()).isEqualTo(401);
            assertThat(unknownKey.headers().firstValue("x-masticcroft-verdict")).contains("NOT_RUN");
            JsonNode error = new ObjectMapper().readTree(unknownKey.body()).path("error");
            assertThat(error.path("code").asText()).isEqualTo("UNKNOWN_KEY");
            assertThat(error.path("request_id").asText())
                    .isEqualTo(unknownKey
                            .headers()
                            .firstValue("x-masticcroft-request-id")
                            .orElseThrow());
            assertThat(send(request("secret", "x".repeat(1001))).statusCode()).isEqualTo(413);
            assertThat(send(request("secret", "no json")).statusCode()).isEqualTo(400);
            assertThat(send(request("secret", "{\"model\":\"x\",\"messages\":[]}"))
                            .statusCode())
                    .isEqualTo(404);
            assertThat(records).hasSize(4);
        }

        /** Guards against answers that reach the wrong caller when several requests are in progress. */
        @Test
        void returnsEachAnswerToItsCaller() throws Exception {
            answerImmediately = false;
            int requests = 3;
            List<CompletableFuture<HttpResponse<String>>> pending = java.util.stream.IntStream.range(0, requests)
                    .mapToObj(i -> http.sendAsync(
                            request("secret", EntryFixture.CHAT + ",\"user\":\"u" + i + "\"}"),
                            HttpResponse.BodyHandlers.ofString()))
                    .toList();
            for (int i = 0; i < requests; i++) {
                HeldDispatch call = heldDispatches.take();
                String user = call.dispatch.getBody().toStringUtf8().replaceAll(".*\"user\":\"(u\\d+)\".*", "$1");
                answer(call, "application/json", user);
            }
            for (int i = 0; i < requests; i++) {
                assertThat(pending.get(i).get(20, TimeUnit.SECONDS).body()).isEqualTo("u" + i);
            }
        }
    }

    @Nested
    class Drain {
        /** Guards against a planned stop that interrupts requests or accepts new ones. */
        @Test
        void finishesRequestsInProgress() throws Exception {
            answerImmediately = false;
            CompletableFuture<HttpResponse<String>> pending =
                    http.sendAsync(chat(false), HttpResponse.BodyHandlers.ofString());
            HeldDispatch call = heldDispatches.take();
            role.beginDrain();
            role.beginDrain();
            assertThat(role.ready()).isFalse();
            assertThat(role.awaitDrained(Duration.ofMillis(1))).isFalse();
            HttpResponse<String> refused = send(chat(false));
            assertThat(refused.statusCode()).isEqualTo(503);
            assertThat(refused.body()).contains("DRAINING", "NOT_RUN");
            answer(call, "application/json", "{}");
            assertThat(role.awaitDrained(Duration.ofSeconds(20))).isTrue();
            assertThat(pending.get(20, TimeUnit.SECONDS).body()).isEqualTo("{}");
        }

        /** Guards against a request that is terminated at the drain deadline without its true verdict. */
        @Test
        void terminatesRemainingRequestsWithTheirVerdict() throws Exception {
            answerImmediately = false;
            CompletableFuture<HttpResponse<String>> pending =
                    http.sendAsync(chat(false), HttpResponse.BodyHandlers.ofString());
            heldDispatches.take();
            role.close();
            assertThat(pending.get(20, TimeUnit.SECONDS).body()).contains("DRAINING", "MAY_HAVE_RUN");
            assertThat(records.peek().verdict().name()).isEqualTo("MAY_HAVE_RUN");
        }
    }

    @Nested
    class ManyThreads {
        /** Guards against lost requests or leaked slots when requests run on all worker threads at once. */
        @Test
        void answerEveryRequestOnce() throws Exception {
            int requests = 200;
            fixture.config.publish(EntryFixture.FakeConfig.fleet("v1", 0, requests));
            AtomicInteger succeeded = new AtomicInteger();
            CountDownLatch done = new CountDownLatch(requests);
            for (int i = 0; i < requests; i++) {
                http.sendAsync(chat(i % 2 == 0), HttpResponse.BodyHandlers.ofString())
                        .whenComplete((response, failure) -> {
                            if (response != null && response.statusCode() == 200) {
                                succeeded.incrementAndGet();
                            }
                            done.countDown();
                        });
            }
            assertThat(done.await(40, TimeUnit.SECONDS)).isTrue();
            assertThat(succeeded).hasValue(requests);
            assertThat(records).hasSize(requests);
            assertThat(status().path("upstreams").path(0).path("own_in_flight").asInt())
                    .isZero();
            assertThat(status().path("active").asInt()).isZero();
        }
    }

    private final class Sidecar implements PeerHandler {
        @Override
        public void onRequest(Envelope request, PeerResponder responder) {
            if (request.hasStatusRequest()) {
                responder.finish(Envelope.newBuilder()
                        .setStatusReply(fixture.statuses.get(sidecar.address().getPort())));
            } else if (request.hasDispatch()) {
                HeldDispatch call = new HeldDispatch(request.getDispatch(), responder);
                if (!answerImmediately) {
                    heldDispatches.add(call);
                } else if (call.dispatch.getStream()) {
                    answer(call, "text/event-stream", EVENT + DONE);
                } else {
                    answer(call, "application/json", "{}");
                }
            }
        }
    }

    /** Makes the test independent of the policy plug-ins, which have their own tests. */
    private static final class FallbackPolicies extends AbstractModule {
        @Override
        protected void configure() {
            bind(Policies.class).toInstance(Policies.fallbacksOnly());
        }
    }

    private final class TestModule extends AbstractModule {
        @Override
        protected void configure() {
            bind(TimeSource.class).toInstance(TimeSource.system());
            bind(LogService.class).toInstance(new EntryFixture.FakeLog());
            bind(ConfigView.class).toInstance(fixture.config);
            bind(InstanceList.class).toInstance(() -> List.<Instance>copyOf(fixture.instances.values()));
            bind(PeerClient.class).toInstance(peers);
            bind(MetricRegistry.class).toInstance(new MetricRegistry());
            bind(UniformRandomProvider.class).toInstance(RandomSource.XO_RO_SHI_RO_128_PP.create(1L));
            bind(AccountWriter.class).toInstance(new AccountWriter() {
                @Override
                public void write(AuditRecord record) {
                    records.add((RequestRecord) record);
                }

                @Override
                public void close() {}
            });
        }
    }
}
