package org.masticcroft.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.wire.generated.ChunkRequest;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.StatusReply;
import org.masticcroft.wire.generated.StatusRequest;

class PeerTransportTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final BlockingQueue<PeerResponder> unansweredCalls = new LinkedBlockingQueue<>();
    private PeerServer server;
    private NettyPeerClient client;

    @BeforeEach
    void start() {
        PeerHandler handler = (request, responder) -> {
            if (request.hasStatusRequest()) {
                responder.finish(Envelope.newBuilder()
                        .setStatusReply(StatusReply.newBuilder()
                                .setInstance(request.getStatusRequest().getInstance())));
            } else {
                unansweredCalls.add(responder);
            }
        };
        server = PeerServer.of(new InetSocketAddress("127.0.0.1", 0), () -> 7, handler);
        client = NettyPeerClient.of(() -> 5);
    }

    @AfterEach
    void stop() {
        client.close();
        server.close();
    }

    private static Envelope.Builder statusRequest(String instance) {
        return Envelope.newBuilder().setStatusRequest(StatusRequest.newBuilder().setInstance(instance));
    }

    private static Envelope.Builder unansweredRequest() {
        return Envelope.newBuilder().setChunkRequest(ChunkRequest.newBuilder());
    }

    @Nested
    class Replies {
        /** Guards against replies that are delivered to the wrong call when many calls share a connection. */
        @Test
        void areDeliveredToTheirCall() {
            List<CompletableFuture<Envelope>> replies = IntStream.range(0, 500)
                    .mapToObj(i -> client.call(server.address(), statusRequest("i" + i), TIMEOUT))
                    .toList();
            for (int i = 0; i < replies.size(); i++) {
                Envelope reply = replies.get(i).join();
                assertThat(reply.getStatusReply().getInstance()).isEqualTo("i" + i);
                assertThat(reply.getConfigVersion()).isEqualTo(7);
            }
        }
    }

    @Nested
    class Failures {
        /** Guards against a refused connection that is reported as a request that may have run. */
        @Test
        void toConnectAreNotRun() {
            InetSocketAddress closedAddress = server.address();
            server.close();
            assertVerdict(client.call(closedAddress, statusRequest("x"), TIMEOUT), Verdict.NOT_RUN);
        }

        /** Guards against a connection that is lost after the request was sent, but is reported as not run. */
        @Test
        void afterSendingMayHaveRun() throws InterruptedException {
            CompletableFuture<Envelope> reply = client.call(server.address(), unansweredRequest(), TIMEOUT);
            assertThat(unansweredCalls.poll(10, TimeUnit.SECONDS)).isNotNull();
            server.close();
            client.close();
            assertVerdict(reply, Verdict.MAY_HAVE_RUN);
        }

        private void assertVerdict(CompletableFuture<Envelope> reply, Verdict verdict) {
            assertThatThrownBy(reply::get)
                    .isInstanceOf(ExecutionException.class)
                    .cause()
                    .isInstanceOfSatisfying(
                            MasticcroftException.class,
                            failure -> assertThat(failure.verdict()).isEqualTo(verdict));
        }
    }
}
