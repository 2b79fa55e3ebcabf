package org.masticcroft.entry.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.entry.EntryFixture;
import org.masticcroft.entry.EntryFixture.FakeCall;
import org.masticcroft.entry.EntryFixture.FakeSink;
import org.masticcroft.entry.request.CallerRequest;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.LeavingNotice;
import org.masticcroft.wire.generated.StatusRequest;

class RoutingTest {
    private final EntryFixture entry = EntryFixture.create();

    private List<Integer> ports() {
        return entry.peers.calls.stream().map(FakeCall::port).toList();
    }

    private void refreshStatus() {
        entry.advance(Duration.ofSeconds(3));
        entry.poller.poll();
        entry.settle();
    }

    @Nested
    class LeavingUpstreams {
        /** Guards against new requests to an upstream that sent a leaving notice. */
        @Test
        void receiveNoRequestsAfterTheirNotice() {
            entry.callAsPeer(Envelope.newBuilder()
                    .setLeavingNotice(LeavingNotice.newBuilder().setInstance("e1")));
            entry.chat(false);
            entry.chat(false);
            assertThat(ports()).containsOnly(9002);
        }

        /** Guards against a status reply that was sent before the leaving notice and cancels it. */
        @Test
        void stayExcludedAfterAnOlderStatus() {
            entry.time.advance(Duration.ofSeconds(1));
            entry.components.upstreams().onLeaving("e1");
            entry.components.upstreams().onStatus(entry.instances.get("e1"), entry.statuses.get(9001), 1);
            entry.chat(false);
            assertThat(ports()).containsOnly(9002);
        }

        @Test
        void receiveNoRequestsWhenListedAsLeaving() {
            entry.markLeaving("e1");
            entry.poller.poll();
            entry.chat(false);
            assertThat(ports()).containsOnly(9002);
        }

        @Test
        void receiveNoRequestsWhenTheConfigurationDrainsThem() {
            entry.config.publish(EntryFixture.FakeConfig.drained("e1"));
            entry.poller.poll();
            entry.chat(false);
            assertThat(ports()).containsOnly(9002);
        }

        /** Guards against a lost leaving notice: the draining flag of any response excludes the upstream. */
        @Test
        void receiveNoRequestsAfterADrainingResponse() {
            entry.chat(false);
            FakeCall first = entry.peers.last();
            first.head("application/json").chunk("{}");
            first.end(first.success().setLoad(EntryFixture.load("e1", true)));
            entry.chat(false);
            assertThat(ports()).containsExactly(9001, 9002);
        }
    }

    @Nested
    class Versions {
        /** Guards against routing to an engine that does not report the configured weights as ready. */
        @Test
        void areServedOnlyWhereReady() {
            entry.config.publish(EntryFixture.FakeConfig.fleet("v2", 0));
            entry.status(9002, "e2", List.of(EntryFixture.V1, EntryFixture.V2));
            refreshStatus();
            FakeSink caller = entry.chat(false);
            assertThat(ports()).containsExactly(9002);
            assertThat(entry.peers.last().dispatch.getWeightsDigest()).isEqualTo(EntryFixture.V2);
            entry.peers.last().answer("{}");
            assertThat(caller.headers.orElseThrow().weights().orElseThrow().version())
                    .isEqualTo("v2");
        }

        /** Guards against an outage while a new version is still being loaded. */
        @Test
        void fallBackToThePreviousVersionDuringASwitch() {
            entry.config.publish(EntryFixture.FakeConfig.fleet("v2", 0));
            entry.chat(false);
            assertThat(entry.peers.last().dispatch.getVersion()).isEqualTo("v1");
            entry.peers.last().answer("{}");
            assertThat(entry.lastRecord().version()).contains("v1");
        }

        /** Guards against a new version that is never used because a stream of responses suppresses status requests. */
        @Test
        void areDetectedUnderSteadyTraffic() {
            entry.config.publish(EntryFixture.FakeConfig.fleet("v2", 0));
            entry.poller.poll();
            entry.status(9001, "e1", List.of(EntryFixture.V2));
            for (int i = 0; i < 15; i++) {
                entry.chat(false);
                FakeCall call = entry.peers.last();
                call.head("application/json").chunk("{}");
                call.end(call.success().setLoad(EntryFixture.load("e1", false)));
                entry.advance(Duration.ofMillis(100));
                entry.poller.poll();
            }
            assertThat(entry.peers.last().dispatch.getVersion()).isEqualTo("v2");
        }

        @Test
        void thatAreReadyNowhereAreRefused() {
            entry.status(9001, "e1", List.of());
            entry.status(9002, "e2", List.of());
            refreshStatus();
            FakeSink caller = entry.chat(false);
            assertThat(caller.code()).isEqualTo(ErrorCode.NO_UPSTREAM);
            assertThat(caller.verdict()).isEqualTo(Verdict.NOT_RUN);
        }
    }

    @Nested
    class Paths {
        /** Guards against an order that is taken for an idempotent request because its path is encoded differently. */
        @Test
        void areNormalizedBeforeMatching() {
            for (String path : List.of("/%6Frders/1", "/x/../orders/1", "//orders/1", "/x/%2e%2e/orders/1")) {
                FakeSink caller = entry.send(CallerRequest.Kind.SERVICE, "switch", "POST", path, Optional.empty(), "x");
                assertThat(caller.code()).isIn(ErrorCode.IDEMPOTENCY_KEY_REQUIRED, ErrorCode.MALFORMED_REQUEST);
            }
            assertThat(entry.peers.calls).isEmpty();
        }
    }

    @Nested
    class Configuration {
        /** Guards against serving under a lower configuration version than a peer has reported. */
        @Test
        void thatIsBehindAPeerDelaysRequests() {
            entry.callAsPeer(
                    Envelope.newBuilder().setConfigVersion(2).setStatusRequest(StatusRequest.getDefaultInstance()));
            FakeSink caller = entry.chat(false);
            assertThat(entry.peers.calls).isEmpty();
            entry.config.publish(EntryFixture.FakeConfig.fleet("v1", 0));
            entry.advance(Duration.ofMillis(20));
            assertThat(entry.peers.calls).hasSize(1);
            assertThat(caller.failure).isEmpty();
        }

        /** Guards against an answer under an older configuration than the caller requires. */
        @Test
        void thatStaysBehindIsReported() {
            entry.minConfig = Optional.of("2");
            FakeSink caller = entry.chat(false);
            for (int i = 0; i < 101; i++) {
                entry.advance(Duration.ofMillis(20));
            }
            assertThat(caller.code()).isEqualTo(ErrorCode.CONFIG_BEHIND);
            assertThat(caller.verdict()).isEqualTo(Verdict.NOT_RUN);
        }
    }

    @Nested
    class Capacity {
        /** Guards against more requests on an upstream than it has slots, apart from urgent ones that may preempt. */
        @Test
        void limitsRequestsInFlight() {
            for (int i = 0; i < 8; i++) {
                entry.chat(false);
            }
            assertThat(entry.peers.calls).hasSize(6);
            entry.peers.last().answer("{}");
            assertThat(entry.peers.calls).hasSize(7);
        }

        /** Guards against urgent requests that wait behind others although they may preempt them. */
        @Test
        void isExceededByUrgentRequestsOnly() {
            entry.callerKey = "draft-key";
            for (int i = 0; i < 6; i++) {
                entry.chat(false);
            }
            assertThat(entry.peers.calls).hasSize(4);
            entry.callerKey = "secret";
            entry.chat(false);
            assertThat(entry.peers.calls).hasSize(5);
            assertThat(entry.peers.last().dispatch.getRank()).isEqualTo("live");
            entry.peers.last().answer("{}");
            assertThat(entry.peers.calls).hasSize(5);
            assertThat(entry.components.gate().queueLengthsByRank()).containsEntry("draft", 2);
        }

        /** Guards against an unbounded queue; a request beyond the limit is refused without being run. */
        @Test
        void refusesBeyondTheQueueLimit() {
            for (int i = 0; i < 9; i++) {
                entry.chat(false);
            }
            FakeSink last = entry.chat(false);
            assertThat(last.code()).isEqualTo(ErrorCode.QUEUE_FULL);
            assertThat(last.failure.orElseThrow().retryAfter()).isPresent();
        }

        /** Guards against a busy upstream that consumes the retry limit or fails requests. */
        @Test
        void isWaitedForWhileASidecarIsBusy() {
            FakeSink caller = entry.chat(false);
            for (int i = 0; i < 10; i++) {
                entry.peers.last().fail(Verdict.NOT_RUN, ErrorCode.BUSY);
                entry.advance(Duration.ofMillis(400));
                entry.poller.poll();
                entry.settle();
            }
            entry.peers.last().answer("{}");
            assertThat(caller.body()).isEqualTo("{}");
            assertThat(entry.peers.calls).hasSize(11);
        }

        /** Guards against a full engine group that delays orders and reads of plain services. */
        @Test
        void ofEnginesDoesNotDelayServices() {
            for (int i = 0; i < 9; i++) {
                entry.chat(false);
            }
            entry.send(CallerRequest.Kind.SERVICE, "switch", "GET", "/state", Optional.empty(), "");
            assertThat(entry.peers.last().port()).isEqualTo(9003);
        }

        @Test
        void isLimitedByCustomer() {
            entry.config.publish(EntryFixture.FakeConfig.fleet("v1", 2));
            entry.chat(false);
            entry.chat(false);
            FakeSink third = entry.chat(false);
            assertThat(third.code()).isEqualTo(ErrorCode.RATE_LIMITED);
            assertThat(third.failure.orElseThrow().retryAfter()).contains(Duration.ofMillis(500));
            assertThat(entry.lastRecord().customer()).isEqualTo("crew");
        }
    }
}
