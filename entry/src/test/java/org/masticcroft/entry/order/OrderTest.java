package org.masticcroft.entry.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.entry.EntryFixture;
import org.masticcroft.entry.EntryFixture.FakeCall;
import org.masticcroft.entry.EntryFixture.FakeLog;
import org.masticcroft.entry.EntryFixture.FakeSink;
import org.masticcroft.entry.request.CallerRequest;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.OutcomeRequest;

class OrderTest {
    private static final String KEY = Instant.parse("2026-12-04T08:00:00Z") + ".order-1";

    private final FakeLog log = new FakeLog();
    private final EntryFixture entry = EntryFixture.of("entry-a", log);

    /** Commits the claim of an order, reads it back and returns the dispatch that follows. */
    private FakeCall commitAndGetDispatch(FakeSink caller) {
        entry.commitClaims();
        assertThat(caller.failure).isEmpty();
        return entry.peers.last();
    }

    @Nested
    class Keys {
        @Test
        void areRequired() {
            FakeSink caller =
                    entry.send(CallerRequest.Kind.SERVICE, "switch", "POST", "/orders/1", Optional.empty(), "x");
            assertThat(caller.code()).isEqualTo(ErrorCode.IDEMPOTENCY_KEY_REQUIRED);
            assertThat(caller.verdict()).isEqualTo(Verdict.NOT_RUN);
        }

        @Test
        void thatAreExpiredAreRefusedAsUncertain() {
            FakeSink caller = entry.order("2026-12-03T08:00:00Z.order-1");
            assertThat(caller.code()).isEqualTo(ErrorCode.IDEMPOTENCY_KEY_EXPIRED);
            assertThat(caller.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }
    }

    @Nested
    class Dispatch {
        /** Guards against a dispatch before the claim was read back from the log. */
        @Test
        void followsTheClaim() {
            FakeSink caller = entry.order(KEY);
            assertThat(entry.peers.calls).isEmpty();
            entry.components.claims().commit();
            entry.settle();
            assertThat(entry.peers.calls).isEmpty();
            FakeCall call = commitAndGetDispatch(caller);
            assertThat(call.dispatch.getClaim().getDispatchByEpochMs())
                    .isEqualTo(Instant.parse("2026-12-04T08:00:10Z").toEpochMilli());
            assertThat(call.dispatch.getIdempotent()).isFalse();
            call.answer("done");
            assertThat(caller.body()).isEqualTo("done");
            entry.commitClaims();
            assertThat(log.text()).contains("\"verdict\":\"RAN\"");
        }

        /** Guards against a second execution after an uncertain attempt. */
        @Test
        void isNotRepeatedAfterAnUncertainAttempt() {
            FakeSink caller = entry.order(KEY);
            commitAndGetDispatch(caller).failConnection(Verdict.MAY_HAVE_RUN);
            assertThat(entry.peers.calls).hasSize(1);
            assertThat(caller.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
            FakeSink resent = entry.order(KEY);
            entry.commitClaims();
            assertThat(resent.code()).isEqualTo(ErrorCode.ORDER_IN_PROGRESS);
            assertThat(entry.peers.calls).hasSize(1);
        }

        @Test
        void isRepeatedAfterADefiniteNotRun() {
            FakeSink caller = entry.order(KEY);
            commitAndGetDispatch(caller).fail(Verdict.NOT_RUN, ErrorCode.UPSTREAM_FAILED);
            assertThat(entry.peers.calls).hasSize(2);
            entry.peers.last().answer("done");
            assertThat(caller.body()).isEqualTo("done");
        }

        /** Guards against an order that runs long after its claim because the entry was paused. */
        @Test
        void doesNotHappenAfterTheDispatchByTime() {
            FakeSink caller = entry.order(KEY);
            entry.components.claims().commit();
            entry.time.advance(Duration.ofSeconds(11));
            entry.commitClaims();
            assertThat(entry.peers.calls).isEmpty();
            assertThat(caller.code()).isEqualTo(ErrorCode.CLAIM_LAPSED);
            assertThat(caller.verdict()).isEqualTo(Verdict.NOT_RUN);
            entry.commitClaims();
            assertThat(log.text()).contains("\"verdict\":\"NOT_RUN\"");
        }

        /** Guards against an order whose outcome stays unknown although the sidecar reports that it ran. */
        @Test
        void thatRanWithoutAnAnswerIsRecorded() {
            FakeSink caller = entry.order(KEY);
            commitAndGetDispatch(caller).fail(Verdict.RAN, ErrorCode.ANSWER_INCOMPLETE);
            assertThat(caller.verdict()).isEqualTo(Verdict.RAN);
            entry.commitClaims();
            assertThat(entry.order(KEY).code()).isEqualTo(ErrorCode.ALREADY_RUN);
        }

        /** Guards against a slot on an upstream that is never released when an outcome never arrives. */
        @Test
        void releasesItsSlotWhenTheOutcomeNeverArrives() {
            commitAndGetDispatch(entry.order(KEY));
            entry.advance(Duration.ofSeconds(31));
            assertThat(entry.requests.active()).isEqualTo(1);
            entry.advance(Duration.ofSeconds(61));
            assertThat(entry.requests.active()).isZero();
            assertThat(entry.components.upstreams().views()).allMatch(view -> view.ownInFlight() == 0);
        }

        /** Guards against an outcome that is lost because the caller was answered first. */
        @Test
        void isStillRecordedAfterTheDeadline() {
            FakeSink caller = entry.order(KEY);
            FakeCall call = commitAndGetDispatch(caller);
            entry.advance(Duration.ofSeconds(31));
            assertThat(caller.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
            assertThat(call.sent).isEmpty();
            call.answer("done");
            entry.commitClaims();
            assertThat(entry.order(KEY).body()).isEqualTo("done");
            assertThat(entry.peers.calls).hasSize(1);
        }
    }

    @Nested
    class Resending {
        @Test
        void whileRunningIsRefusedAsUncertain() {
            commitAndGetDispatch(entry.order(KEY));
            FakeSink resent = entry.order(KEY);
            assertThat(resent.code()).isEqualTo(ErrorCode.ORDER_IN_PROGRESS);
            assertThat(resent.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }

        @Test
        void afterSuccessReturnsTheStoredAnswer() {
            commitAndGetDispatch(entry.order(KEY)).answer("done");
            entry.commitClaims();
            FakeSink resent = entry.order(KEY);
            assertThat(resent.body()).isEqualTo("done");
            assertThat(resent.headers.orElseThrow().replayed()).isTrue();
            assertThat(entry.peers.calls).hasSize(1);
        }

        /** Guards against the answer of one order that is returned for another. */
        @Test
        void forAnotherCallIsRefused() {
            FakeCall first = commitAndGetDispatch(entry.order(KEY));
            for (int i = 0; i < 2; i++) {
                FakeSink other = entry.send(
                        CallerRequest.Kind.SERVICE, "switch", "POST", "/orders/2", Optional.of(KEY), "disconnect");
                assertThat(other.code()).isEqualTo(ErrorCode.IDEMPOTENCY_KEY_MALFORMED);
                assertThat(other.verdict()).isEqualTo(Verdict.NOT_RUN);
                first.answer("done");
                entry.commitClaims();
            }
            assertThat(entry.order(KEY).body()).isEqualTo("done");
        }

        /** Guards against an order that runs again at another entry. */
        @Test
        void toAnotherEntryAsksTheOwner() {
            commitAndGetDispatch(entry.order(KEY)).answer("done");
            entry.commitClaims();
            EntryFixture other = EntryFixture.of("entry-b", log);
            other.otherEntry("entry-a", 9100);
            other.peers.replyOfEntries = request -> entry.callAsPeer(request.toBuilder());
            FakeSink resent = other.order(KEY);
            other.commitClaims();
            assertThat(resent.body()).isEqualTo("done");
            assertThat(other.peers.calls).isEmpty();
        }

        /** Guards against an order that runs again after its owner died. */
        @Test
        void afterTheDeathOfTheOwnerIsRefused() {
            commitAndGetDispatch(entry.order(KEY));
            EntryFixture other = EntryFixture.of("entry-b", log);
            FakeSink resent = other.order(KEY);
            other.commitClaims();
            assertThat(resent.code()).isEqualTo(ErrorCode.ORDER_IN_PROGRESS);
            entry.peers.last().answer("done");
            entry.commitClaims();
            other.commitClaims();
            FakeSink later = other.order(KEY);
            other.commitClaims();
            assertThat(later.code()).isEqualTo(ErrorCode.ALREADY_RUN);
            assertThat(later.verdict()).isEqualTo(Verdict.RAN);
            assertThat(other.lastRecord().verdict()).isEqualTo(Verdict.RAN);
            assertThat(other.peers.calls).isEmpty();
        }

        /** Guards against a stored answer that is found under the key of another customer. */
        @Test
        void isNotAnsweredFromAnotherKey() {
            commitAndGetDispatch(entry.order(KEY)).answer("done");
            Envelope reply = entry.callAsPeer(Envelope.newBuilder()
                    .setOutcomeRequest(OutcomeRequest.newBuilder().setKeyDigest("other")));
            assertThat(reply.getOutcomeReply().getFound()).isFalse();
        }
    }

    @Nested
    class Races {
        /** Guards against two entries that both run an order. */
        @Test
        void areWonByTheFirstClaimInTheLog() {
            EntryFixture other = EntryFixture.of("entry-b", log);
            FakeSink firstCaller = entry.order(KEY);
            FakeSink secondCaller = other.order(KEY);
            other.components.claims().commit();
            entry.commitClaims();
            other.commitClaims();
            assertThat(entry.peers.calls.size() + other.peers.calls.size()).isEqualTo(1);
            assertThat(firstCaller.code()).isEqualTo(ErrorCode.ORDER_IN_PROGRESS);
            other.peers.last().answer("done");
            assertThat(secondCaller.body()).isEqualTo("done");
        }
    }

    @Nested
    class LogFailures {
        /** Guards against a claim that is treated as lost although the log has it. */
        @Test
        void ofTheResponseAreResolvedByReading() {
            log.loseResponses = true;
            FakeSink caller = entry.order(KEY);
            commitAndGetDispatch(caller).answer("done");
            assertThat(caller.body()).isEqualTo("done");
        }

        /** Guards against a dispatch after the caller was told that the order was not run. */
        @Test
        void ofTheRecordEndAsNotRunPermanently() {
            log.delayRecords = true;
            FakeSink caller = entry.order(KEY);
            entry.commitClaims();
            entry.advance(Duration.ofSeconds(6));
            assertThat(caller.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
            assertThat(caller.verdict()).isEqualTo(Verdict.NOT_RUN);
            log.delayRecords = false;
            entry.commitClaims();
            assertThat(log.text()).contains("\"verdict\":\"NOT_RUN\"");
            assertThat(entry.peers.calls).isEmpty();
            FakeSink resent = entry.order(KEY);
            commitAndGetDispatch(resent);
        }

        @Test
        void areRefusedAtOnceWhenTheLogIsDown() {
            log.unavailable = true;
            FakeSink caller = entry.order(KEY);
            entry.commitClaims();
            assertThat(caller.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
            assertThat(caller.verdict()).isEqualTo(Verdict.NOT_RUN);
            FakeSink read = entry.send(CallerRequest.Kind.SERVICE, "switch", "GET", "/state?x=1", Optional.empty(), "");
            entry.peers.last().answer("state");
            assertThat(read.body()).isEqualTo("state");
            assertThat(entry.peers.last().dispatch.getPath()).isEqualTo("/state?x=1");
        }

        /** Guards against an order under a configuration that may have been superseded. */
        @Test
        void refuseOrdersWhileTheConfigurationIsUnconfirmed() {
            entry.config.age = Duration.ofSeconds(6);
            FakeSink caller = entry.order(KEY);
            assertThat(caller.code()).isEqualTo(ErrorCode.CONFIG_UNAVAILABLE);
            assertThat(caller.headers.orElseThrow().unconfirmedConfigAge()).contains(Duration.ofSeconds(6));
            entry.chat(false);
            assertThat(entry.peers.calls).hasSize(1);
        }
    }
}
