package org.masticcroft.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.account.record.DispatchRecord;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.ports.engine.EngineRequest;
import org.masticcroft.ports.service.ServiceClient;
import org.masticcroft.ports.service.UpstreamCall;
import org.masticcroft.ports.service.UpstreamRequest;
import org.masticcroft.ports.service.UpstreamResponse;
import org.masticcroft.sidecar.dispatch.DispatchRecorder;
import org.masticcroft.sidecar.dispatch.Dispatcher;
import org.masticcroft.sidecar.dispatch.EngineConnector;
import org.masticcroft.sidecar.dispatch.ServiceConnector;
import org.masticcroft.sidecar.target.EngineMonitor;
import org.masticcroft.sidecar.target.WeightsUsageTracker;
import org.masticcroft.wire.PeerResponder;
import org.masticcroft.wire.generated.Claim;
import org.masticcroft.wire.generated.Dispatch;
import org.masticcroft.wire.generated.DispatchEnd;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.Verdict;

class DispatcherTest {
    private static final WeightsDigest DIGEST =
            Weights.generate("v1", 2).manifest().digest();
    private static final WeightsDigest OTHER_DIGEST =
            Weights.generate("v2", 2).manifest().digest();

    private final Fixture fixture = new Fixture();
    private final EngineMonitor monitor = EngineMonitor.of(fixture.engine, fixture.time);
    private boolean draining;
    private final Dispatcher dispatcher = new Dispatcher(
            "e-1",
            EngineConnector.of(fixture.engine, monitor, WeightsUsageTracker.empty()),
            () -> draining,
            new Dispatcher.Bounds(8, 1),
            DispatchRecorder.of("e-1", fixture.account, fixture.time, fixture.metrics),
            new Dispatcher.Executors(Runnable::run, Runnable::run),
            fixture.time);

    @BeforeEach
    void load() {
        fixture.engine.loadDirectly(DIGEST);
        monitor.refresh();
    }

    private Dispatch.Builder request(String id) {
        return Dispatch.newBuilder()
                .setRequestId(id)
                .setAttempt(1)
                .setUpstream("e-1")
                .setMethod("POST")
                .setPath("/v1/chat/completions")
                .setBody(ByteString.copyFromUtf8("{}"))
                .setStream(true)
                .setWeightsDigest(DIGEST.value())
                .setRankOrder(2)
                .setRemainingMs(30_000)
                .setIdempotent(true);
    }

    private Replies run(Dispatch.Builder dispatch) {
        Replies replies = new Replies();
        dispatcher.dispatch(dispatch.build(), replies);
        return replies;
    }

    private void assertRefused(Replies replies, ErrorCode code) {
        assertThat(replies.end().getVerdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(replies.end().getErrorCode()).isEqualTo(code.name());
        assertThat(fixture.engine.requests).isEmpty();
    }

    private Dispatch.Builder order(String id, long dispatchByOffsetMs) {
        long now = fixture.time.now().toEpochMilli();
        return request(id)
                .setIdempotent(false)
                .setClaim(Claim.newBuilder().setDispatchByEpochMs(now + dispatchByOffsetMs));
    }

    /**
     * Returns a response body that consists of {@code before} and {@code after} and runs {@code hook} between them. If
     * {@code after} is null, reading fails after {@code hook} as if the connection had been reset.
     */
    private static InputStream interrupted(String before, Runnable hook, String after) {
        InputStream rest = new FilterInputStream(FakeEngine.stream(after == null ? "" : after)) {
            private boolean ran;

            @Override
            public int read(byte[] buffer, int offset, int length) throws IOException {
                if (!ran) {
                    ran = true;
                    hook.run();
                }
                if (after == null) {
                    throw new IOException("connection reset");
                }
                return super.read(buffer, offset, length);
            }
        };
        return new SequenceInputStream(new ByteArrayInputStream(before.getBytes()), rest);
    }

    @Nested
    class Responses {
        /** Guards against a response whose end message lacks what the entry needs to verify it. */
        @Test
        void forwardsCompleteStreamAndReportsItsLength() {
            Replies replies = run(request("r-1"));
            assertThat(replies.end().getVerdict()).isEqualTo(Verdict.RAN);
            assertThat(replies.end().getErrorCode()).isEmpty();
            assertThat(replies.text()).isEqualTo(FakeEngine.completeStream(DIGEST.value()));
            assertThat(replies.end().getByteCount()).isEqualTo(replies.text().length());
            assertThat(replies.end().getCompletionTokens()).isEqualTo(2);
            assertThat(fixture.records).singleElement().isInstanceOf(DispatchRecord.class);
        }

        /** Guards against a truncated stream that is reported as a complete, short response. */
        @Test
        void truncatedStreamIsNotSuccess() {
            for (String rest : List.of("", "data: {\"cho", "data: [DONE]\n")) {
                fixture.engine.answer = request -> FakeEngine.stream(FakeEngine.tokens(3) + rest);
                Replies replies = run(request("r-" + rest));
                assertThat(replies.end().getErrorCode()).isEqualTo(ErrorCode.ANSWER_INCOMPLETE.name());
                assertThat(replies.end().getVerdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
                assertThat(replies.text()).isEqualTo(FakeEngine.tokens(3));
            }
        }

        /** Guards against a truncated non-streaming response that reaches the entry. */
        @Test
        void truncatedCompletionIsNotForwarded() {
            fixture.engine.answer = request -> FakeEngine.stream("{\"choices\":[{\"mess");
            Replies replies = run(request("r-1").setStream(false));
            assertThat(replies.end().getErrorCode()).isEqualTo(ErrorCode.ANSWER_INCOMPLETE.name());
            assertThat(replies.messages).noneMatch(Envelope::hasDispatchHead);
        }

        /** Guards against serving a request from other weights than those it was routed to. */
        @Test
        void otherDigestIsNotSuccess() {
            fixture.engine.answer = request -> FakeEngine.stream(FakeEngine.completeStream(OTHER_DIGEST.value()));
            Replies replies = run(request("r-1"));
            assertThat(replies.end().getErrorCode()).isEqualTo(ErrorCode.WEIGHTS_MISMATCH.name());
            assertThat(replies.text()).doesNotContain("[DONE]", OTHER_DIGEST.value());
        }

        /** Guards against taking a cancelled request for a success because its stream ends like a complete one. */
        @Test
        void streamCancelledAtEngineIsNotSuccess() {
            fixture.engine.answer = request ->
                    FakeEngine.stream(FakeEngine.completeStream(DIGEST.value()).replace("length", "cancelled"));
            assertThat(run(request("r-1")).end().getErrorCode()).isEqualTo(ErrorCode.CANCELLED.name());
        }

        /** Guards against accepting a response of an engine that restarted after the weights were checked. */
        @Test
        void otherIncarnationIsNotSuccess() {
            fixture.engine.restart();
            assertThat(run(request("r-1")).end().getErrorCode()).isEqualTo(ErrorCode.WEIGHTS_MISMATCH.name());
        }

        /** Guards against taking a crash for a lost connection, so that requests that crash engines go undetected. */
        @Test
        void engineCrashIsReported() {
            fixture.engine.answer =
                    request -> interrupted(FakeEngine.tokens(1), () -> fixture.engine.down = true, null);
            Replies replies = run(request("r-1"));
            assertThat(replies.end().getUpstreamCrashed()).isTrue();
            assertThat(replies.end().getVerdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }

        /** Guards against reporting a crash when only the connection was lost and the engine still runs. */
        @Test
        void lostConnectionIsNotReportedAsCrash() {
            fixture.engine.answer = request -> interrupted(FakeEngine.tokens(1), () -> {}, null);
            assertThat(run(request("r-1")).end().getUpstreamCrashed()).isFalse();
        }
    }

    @Nested
    class Refusals {
        /** Guards against an order that runs after the time up to which its claim may be dispatched. */
        @Test
        void refusesOrderAfterItsDispatchByTime() {
            assertRefused(run(order("r-1", 0)), ErrorCode.CLAIM_LAPSED);
        }

        @Test
        void refusesOrderWithoutClaim() {
            assertRefused(run(request("r-1").setIdempotent(false)), ErrorCode.IDEMPOTENCY_KEY_REQUIRED);
        }

        @Test
        void refusesWeightsThatAreNotLoaded() {
            assertRefused(run(request("r-1").setWeightsDigest(OTHER_DIGEST.value())), ErrorCode.WEIGHTS_NOT_LOADED);
        }

        @Test
        void refusesNewRequestWhileDraining() {
            draining = true;
            assertRefused(run(request("r-1")), ErrorCode.DRAINING);
        }

        @Test
        void refusesRequestWithoutRemainingTime() {
            assertRefused(run(request("r-1").setRemainingMs(0)), ErrorCode.DEADLINE_EXCEEDED);
        }
    }

    @Nested
    class Duplicates {
        /** Guards against running an order twice when its dispatch message is delivered twice. */
        @Test
        void secondDispatchOfSameAttemptIsNotRun() {
            run(order("r-1", 10_000));
            Replies second = run(order("r-1", 10_000));
            assertThat(fixture.engine.requests).hasSize(1);
            assertThat(second.end().getVerdict()).isEqualTo(Verdict.RAN);
            assertThat(second.end().getErrorCode()).isEqualTo(ErrorCode.ALREADY_RUN.name());
        }

        /** Guards against reporting a request that is still running as not run. */
        @Test
        void duplicateOfRunningRequestMayHaveRun() {
            List<Replies> second = new ArrayList<>();
            fixture.engine.answer = request ->
                    interrupted("", () -> second.add(run(request("r-1"))), FakeEngine.completeStream(DIGEST.value()));
            run(request("r-1"));
            assertThat(second.get(0).end().getVerdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
            assertThat(fixture.engine.requests).hasSize(1);
        }
    }

    @Nested
    class Queueing {
        /** Runs {@code whileRunning} while two requests occupy both slots; returns the replies, the second first. */
        private List<Replies> whileFull(Dispatch.Builder first, Dispatch.Builder second, Runnable whileRunning) {
            List<Replies> replies = new ArrayList<>();
            List<Runnable> hooks = new ArrayList<>(List.of(() -> replies.add(run(second)), whileRunning));
            String rest = FakeEngine.completeStream(DIGEST.value())
                    .substring(FakeEngine.tokens(1).length());
            fixture.engine.answer = request -> interrupted(
                    FakeEngine.tokens(1),
                    hooks.isEmpty() ? () -> {} : hooks.remove(0),
                    restUnlessPreempted(request, rest));
            replies.add(run(first));
            return replies;
        }

        private String restUnlessPreempted(EngineRequest request, String rest) {
            return request.requestId().equals("batch") && preemptionExpected ? null : rest;
        }

        private boolean preemptionExpected;

        /** Guards against an unbounded queue when all slots are in use. */
        @Test
        void refusesWhenSlotsAndQueueAreFull() {
            List<Replies> late = new ArrayList<>();
            whileFull(request("r-1"), request("r-2"), () -> {
                late.add(run(request("r-3")));
                late.add(run(request("r-4")));
            });
            assertThat(late.get(0).end().getErrorCode()).isEmpty();
            assertThat(late.get(1).end().getVerdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(late.get(1).end().getErrorCode()).isEqualTo(ErrorCode.BUSY.name());
        }

        /** Guards against a planned stop that refuses requests accepted before draining began. */
        @Test
        void waitingRequestRunsWhenDrainBegins() {
            List<Replies> waiting = new ArrayList<>();
            whileFull(request("r-1"), request("r-2"), () -> {
                waiting.add(run(request("r-3")));
                draining = true;
            });
            assertThat(waiting.get(0).end().getErrorCode()).isEmpty();
        }

        /** Guards against urgent requests that wait behind requests of less urgent ranks. */
        @Test
        void urgentRequestPreemptsLeastUrgentRequest() {
            preemptionExpected = true;
            Replies urgent = new Replies();
            List<Replies> running = whileFull(
                    request("r-1").setRankOrder(1),
                    request("batch").setRankOrder(2),
                    () -> dispatcher.dispatch(request("urgent").setRankOrder(0).build(), urgent));
            assertThat(fixture.engine.cancelled).containsExactly("batch", "abort batch");
            assertThat(running.get(0).end().getErrorCode()).isEqualTo(ErrorCode.PREEMPTED.name());
            assertThat(running.get(0).text()).isEqualTo(FakeEngine.tokens(1));
            assertThat(urgent.end().getErrorCode()).isEmpty();
        }

        /** Guards against interrupting an order, which is not idempotent and must not run again. */
        @Test
        void ordersAreNeverPreempted() {
            whileFull(
                    order("r-1", 10_000),
                    order("r-2", 10_000),
                    () -> run(request("urgent").setRankOrder(0)));
            assertThat(fixture.engine.cancelled).isEmpty();
        }

        /** Guards against a waiting order that starts after the time up to which its claim may be dispatched. */
        @Test
        void claimIsCheckedAgainWhenSlotIsFree() {
            List<Replies> late = new ArrayList<>();
            whileFull(request("r-1"), request("r-2"), () -> {
                late.add(run(order("r-3", 5_000)));
                fixture.time.advance(Duration.ofSeconds(6));
            });
            assertThat(late.get(0).end().getErrorCode()).isEqualTo(ErrorCode.CLAIM_LAPSED.name());
            assertThat(late.get(0).end().getVerdict()).isEqualTo(Verdict.NOT_RUN);
        }
    }

    @Nested
    class CancellationAndShutdown {
        /** Guards against running a request to its end for an entry that has cancelled it or is lost. */
        @Test
        void cancellationStopsIdempotentRequest() {
            Replies replies = new Replies();
            fixture.engine.answer =
                    request -> interrupted(FakeEngine.tokens(1), () -> dispatcher.cancel(replies), null);
            dispatcher.dispatch(request("r-1").build(), replies);
            assertThat(fixture.engine.cancelled).contains("r-1");
            assertThat(replies.end().getErrorCode()).isEqualTo(ErrorCode.CANCELLED.name());
        }

        /** Guards against interrupting a running order when its entry has cancelled it or is lost. */
        @Test
        void cancellationDoesNotInterruptOrder() {
            Replies replies = new Replies();
            fixture.engine.answer = request ->
                    interrupted("", () -> dispatcher.cancel(replies), FakeEngine.completeStream(DIGEST.value()));
            dispatcher.dispatch(order("r-1", 10_000).build(), replies);
            assertThat(fixture.engine.cancelled).isEmpty();
            assertThat(replies.end().getVerdict()).isEqualTo(Verdict.RAN);
        }

        /** Guards against a planned stop that interrupts a running request. */
        @Test
        void runningRequestCompletesWhileDraining() {
            fixture.engine.answer =
                    request -> interrupted("", () -> draining = true, FakeEngine.completeStream(DIGEST.value()));
            DispatchEnd end = run(request("r-1")).end();
            assertThat(end.getErrorCode()).isEmpty();
            assertThat(end.getLoad().getDraining()).isTrue();
            assertThat(dispatcher.unfinishedCount()).isZero();
        }

        /** Guards against reporting a request that runs at the drain deadline as not run. */
        @Test
        void closeEndsRunningRequestAsMayHaveRun() {
            fixture.engine.answer = request -> interrupted("", dispatcher::close, null);
            DispatchEnd end = run(request("r-1")).end();
            assertThat(end.getVerdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
            assertThat(end.getErrorCode()).isEqualTo(ErrorCode.DRAINING.name());
        }

        /** Guards against an order on an upstream that hangs and would occupy its slot forever. */
        @Test
        void hangingOrderIsAbortedAfterGracePeriod() {
            List<Integer> stops = new ArrayList<>();
            fixture.engine.answer = request -> interrupted(
                    "",
                    () -> {
                        for (int i = 0; i < 2; i++) {
                            fixture.time.advance(Duration.ofSeconds(46));
                            dispatcher.sweep();
                            stops.add(fixture.engine.cancelled.size());
                        }
                    },
                    null);
            DispatchEnd end = run(order("r-1", 10_000)).end();
            assertThat(stops).containsExactly(0, 2);
            assertThat(end.getVerdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }

        /** Guards against requests that continue to run after their deadline. */
        @Test
        void deadlineCancelsRunningRequest() {
            fixture.engine.answer = request -> interrupted(
                    "",
                    () -> {
                        fixture.time.advance(Duration.ofSeconds(31));
                        dispatcher.sweep();
                    },
                    null);
            assertThat(run(request("r-1")).end().getErrorCode()).isEqualTo(ErrorCode.DEADLINE_EXCEEDED.name());
        }
    }

    @Nested
    class PlainService {
        private int status = 200;
        private boolean accepting = true;
        private InputStream body = FakeEngine.stream("ok");
        private final List<UpstreamRequest> serviceRequests = new ArrayList<>();
        private final ServiceClient service = new ServiceClient() {
            @Override
            public UpstreamCall open(UpstreamRequest request) {
                serviceRequests.add(request);
                return new UpstreamCall() {
                    @Override
                    public UpstreamResponse await() {
                        return new UpstreamResponse(status, "text/plain", Optional.empty(), Optional.empty(), body);
                    }

                    @Override
                    public void abort() {}
                };
            }

            @Override
            public boolean acceptsConnections() {
                return accepting;
            }
        };

        private Replies runOnService(Dispatch.Builder dispatch) {
            Replies replies = new Replies();
            new Dispatcher(
                            "e-1",
                            ServiceConnector.of(service, 2),
                            () -> draining,
                            new Dispatcher.Bounds(8, 1),
                            DispatchRecorder.of("e-1", fixture.account, fixture.time, fixture.metrics),
                            new Dispatcher.Executors(Runnable::run, Runnable::run),
                            fixture.time)
                    .dispatch(dispatch.setWeightsDigest("").setStream(false).build(), replies);
            return replies;
        }

        /** Guards against withholding a client error of the service from the caller, such as a rejected order. */
        @Test
        void forwardsClientErrors() {
            status = 409;
            Replies replies = runOnService(order("r-1", 10_000).setPath("/orders?berth=3"));
            assertThat(replies.text()).isEqualTo("ok");
            assertThat(replies.end().getVerdict()).isEqualTo(Verdict.RAN);
            assertThat(serviceRequests.get(0).path()).isEqualTo("/orders?berth=3");
        }

        /** Guards against a server error that is reported as the result of an order. */
        @Test
        void serverErrorMayHaveRun() {
            status = 500;
            Replies replies = runOnService(order("r-1", 10_000));
            assertThat(replies.end().getVerdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
            assertThat(replies.messages).noneMatch(Envelope::hasDispatchHead);
        }

        /** Guards against forwarding the first bytes of a short response whose connection is then lost. */
        @Test
        void truncatedResponseOfCrashedServiceIsNotForwarded() {
            body = interrupted("partial", () -> accepting = false, null);
            Replies replies = runOnService(request("r-1"));
            assertThat(replies.text()).isEmpty();
            assertThat(replies.end().getUpstreamCrashed()).isTrue();
        }
    }

    /** Records the messages that the dispatcher sends to the entry for one dispatch. */
    private static final class Replies implements PeerResponder {
        private final List<Envelope> messages = new ArrayList<>();

        private DispatchEnd end() {
            assertThat(messages.stream().filter(Envelope::hasDispatchEnd)).hasSize(1);
            return messages.get(messages.size() - 1).getDispatchEnd();
        }

        private String text() {
            return messages.stream()
                    .filter(Envelope::hasDispatchChunk)
                    .map(message -> message.getDispatchChunk().getData().toStringUtf8())
                    .collect(Collectors.joining());
        }

        @Override
        public void send(Envelope.Builder reply) {
            messages.add(reply.build());
        }

        @Override
        public void finish(Envelope.Builder reply) {
            messages.add(reply.build());
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public boolean isOpen() {
            return true;
        }
    }
}
