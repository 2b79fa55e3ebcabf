package org.masticcroft.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.account.record.RequestRecord;
import org.masticcroft.entry.EntryFixture;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.wire.generated.DispatchEnd;
import org.masticcroft.wire.generated.Envelope;

class AnswerTest {
    private final EntryFixture entry = EntryFixture.create();

    @Nested
    class CompleteAnswers {
        @Test
        void reachTheCallerWithTheirRecord() {
            EntryFixture.FakeSink caller = entry.chat(false);
            entry.peers.last().started("i1").answer("{}");
            assertThat(caller.body()).isEqualTo("{}");
            assertThat(caller.headers.orElseThrow().weights().orElseThrow().digest())
                    .isEqualTo(EntryFixture.V1);
            RequestRecord record = entry.lastRecord();
            assertThat(record.verdict()).isEqualTo(Verdict.RAN);
            assertThat(record.weightsDigest()).contains(EntryFixture.V1);
            assertThat(record.attempts()).hasSize(1);
            assertThat(record.attempts().get(0).incarnation()).contains("i1");
            assertThat(entry.requests.active()).isZero();
        }

        /** Guards against a truncated answer that is sent to the caller as complete. */
        @Test
        void thatAreTruncatedAreRetried() {
            EntryFixture.FakeSink caller = entry.chat(false);
            EntryFixture.FakeCall first = entry.peers.last();
            first.head("application/json").chunk("{\"a\":");
            first.end(first.success().setByteCount(9));
            assertThat(caller.answer).isEmpty();
            assertThat(entry.peers.calls).hasSize(2);
            entry.peers.last().answer("{\"a\":1}");
            assertThat(caller.body()).isEqualTo("{\"a\":1}");
        }

        /** Guards against an answer that was corrupted in transit. */
        @Test
        void withAWrongDigestAreRejected() {
            EntryFixture.FakeSink caller = entry.chat(false);
            EntryFixture.FakeCall first = entry.peers.last();
            DispatchEnd.Builder end = first.head("application/json").chunk("{}").success();
            first.end(end.setAnswerSha256(com.google.protobuf.ByteString.copyFromUtf8("other")));
            assertThat(caller.answer).isEmpty();
            assertThat(entry.failAndGetAttemptCodes()).containsExactly("ANSWER_INCOMPLETE");
        }

        /** Guards against an answer from other weights than the dispatch named. */
        @Test
        void fromOtherWeightsAreRejected() {
            EntryFixture.FakeSink caller = entry.chat(false);
            EntryFixture.FakeCall first = entry.peers.last();
            DispatchEnd.Builder end = first.head("application/json").chunk("{}").success();
            first.end(end.setWeightsDigest(EntryFixture.V2));
            assertThat(caller.answer).isEmpty();
            assertThat(entry.failAndGetAttemptCodes()).containsExactly("WEIGHTS_MISMATCH");
        }
    }

    @Nested
    class Replies {
        /** Guards against a reply to another request that is sent to this caller. */
        @Test
        void thatBelongToAnotherRequestAreRejected() {
            EntryFixture.FakeSink firstCaller = entry.chat(false);
            EntryFixture.FakeCall first = entry.peers.last();
            EntryFixture.FakeSink secondCaller = entry.chat(false);
            EntryFixture.FakeCall second = entry.peers.last();
            first.sendAnswerOf(second.dispatch, "{\"two\":2}");
            assertThat(firstCaller.answer).isEmpty();
            assertThat(first.closed).isTrue();
            second.answer("{\"two\":2}");
            assertThat(secondCaller.body()).isEqualTo("{\"two\":2}");
            entry.peers.last().answer("{\"one\":1}");
            assertThat(firstCaller.body()).isEqualTo("{\"one\":1}");
        }

        /** Guards against a duplicated chunk that is appended to the answer twice. */
        @Test
        void thatAreDuplicatedAreRejected() {
            EntryFixture.FakeSink caller = entry.chat(false);
            EntryFixture.FakeCall first = entry.peers.last();
            first.head("application/json").chunk("{}").chunk(0, "{}");
            assertThat(first.sent).anyMatch(Envelope::hasCancel);
            first.end(first.success());
            assertThat(caller.answer).isEmpty();
            entry.peers.last().answer("{}");
            assertThat(caller.body()).isEqualTo("{}");
        }

        /** Guards against a late reply to an ended attempt that is mixed into the answer of the next one. */
        @Test
        void thatAreLateHaveNoEffect() {
            EntryFixture.FakeSink caller = entry.chat(false);
            EntryFixture.FakeCall first = entry.peers.last();
            first.fail(Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_FAILED);
            first.answer("late");
            assertThat(caller.answer).isEmpty();
            entry.peers.last().answer("{}");
            first.answer("later");
            assertThat(caller.body()).isEqualTo("{}");
            assertThat(entry.records).hasSize(1);
        }
    }

    @Nested
    class Streams {
        /** Guards against a caller that sees the end of a stream before the complete answer was verified. */
        @Test
        void endOnlyAfterVerification() {
            EntryFixture.FakeSink caller = entry.chat(true);
            EntryFixture.FakeCall call = entry.peers.last();
            call.head("text/event-stream").tokens("a", "b").done();
            assertThat(caller.stream).contains("\"a\"").doesNotContain("[DONE]");
            call.end(call.success());
            assertThat(caller.stream.toString()).endsWith("data: [DONE]\n\n");
            assertThat(caller.streamEnded).isTrue();
            assertThat(entry.lastRecord().answerDigest())
                    .contains(RequestValidator.sha256(caller.stream.toString().getBytes()));
        }

        /** Guards against lost or duplicated tokens when a sidecar is lost in mid-stream. */
        @Test
        void resumeOnAnotherUpstreamWithTheSameWeights() {
            EntryFixture.FakeSink caller = entry.chat(true);
            EntryFixture.FakeCall first = entry.peers.last();
            first.head("text/event-stream").tokens("a", "b").failConnection(Verdict.MAY_HAVE_RUN);
            EntryFixture.FakeCall second = entry.peers.last();
            assertThat(second.port()).isNotEqualTo(first.port());
            assertThat(second.dispatch.getResumeFrom()).isEqualTo(2);
            assertThat(second.dispatch.getWeightsDigest()).isEqualTo(EntryFixture.V1);
            second.head("text/event-stream").tokens("c").done().end(second.success());
            assertThat(caller.stream.toString().replaceAll("\\W", "")).matches(".*contenta.*contentb.*contentc.*DONE");
        }

        /** Guards against an error that is sent in the middle of a stream or completes it. */
        @Test
        void areNotContinuedWithAnAnswerThatIsNoStream() {
            EntryFixture.FakeSink caller = entry.chat(true);
            entry.peers.last().head("text/event-stream").tokens("a").failConnection(Verdict.MAY_HAVE_RUN);
            entry.peers.last().answer("{\"error\":\"failed\"}");
            assertThat(caller.stream.toString()).contains("\"a\"").doesNotContain("failed");
            assertThat(caller.streamEnded).isFalse();
        }

        /** Guards against the text of an error that is forwarded as an event because of its blank lines. */
        @Test
        void areNotContinuedWithTextThatIsNoEvent() {
            EntryFixture.FakeSink caller = entry.chat(true);
            entry.peers.last().head("text/event-stream").tokens("a").failConnection(Verdict.MAY_HAVE_RUN);
            EntryFixture.FakeCall second = entry.peers.last();
            second.head("text/event-stream").chunk("HTTP/1.1 500 Internal Server Error\r\n\r\nfailed\n\n");
            assertThat(caller.stream.toString()).contains("\"a\"").doesNotContain("HTTP", "failed");
            assertThat(second.sent).anyMatch(Envelope::hasCancel);
            assertThat(caller.streamEnded).isFalse();
        }

        /** Guards against a stream that ends as complete although its last attempt ended before the end marker. */
        @Test
        void areNotCompletedByAStreamWithoutEvents() {
            EntryFixture.FakeSink caller = entry.chat(true);
            entry.peers.last().head("text/event-stream").tokens("a").failConnection(Verdict.MAY_HAVE_RUN);
            EntryFixture.FakeCall second = entry.peers.last();
            second.head("text/event-stream").end(second.success());
            assertThat(caller.streamEnded).isFalse();
        }

        /** Guards against an answer that mixes two sets of weights. */
        @Test
        void areNotResumedOnOtherWeights() {
            EntryFixture.FakeSink caller = entry.chat(true);
            EntryFixture.FakeCall first = entry.peers.last();
            first.head("text/event-stream").tokens("a");
            entry.status(9001, "e1", java.util.List.of(EntryFixture.V2));
            entry.status(9002, "e2", java.util.List.of(EntryFixture.V2));
            entry.config.publish(EntryFixture.FakeConfig.fleet("v2", 0));
            entry.advance(Duration.ofSeconds(3));
            entry.poller.poll();
            first.failConnection(Verdict.MAY_HAVE_RUN);
            assertThat(entry.peers.calls).hasSize(1);
            assertThat(caller.code()).isEqualTo(ErrorCode.NO_UPSTREAM);
            assertThat(caller.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }

        /** Guards against a preempted request that starts from the beginning or fails. */
        @Test
        void thatArePreemptedContinueLater() {
            entry.chat(true);
            EntryFixture.FakeCall first = entry.peers.last();
            first.head("text/event-stream").tokens("a").fail(Verdict.MAY_HAVE_RUN, ErrorCode.PREEMPTED);
            assertThat(entry.peers.calls).hasSize(2);
            assertThat(entry.peers.last().dispatch.getResumeFrom()).isEqualTo(1);
        }

        /** Guards against an engine that keeps working for a caller that has disconnected. */
        @Test
        void areCancelledWhenTheCallerDisconnects() {
            EntryFixture.FakeSink caller = entry.chat(true);
            caller.disconnected = true;
            EntryFixture.FakeCall call = entry.peers.last();
            call.head("text/event-stream").tokens("a");
            assertThat(call.sent).anyMatch(Envelope::hasCancel);
            assertThat(entry.lastRecord().errorCode()).contains("CANCELLED");
            assertThat(entry.requests.active()).isZero();
        }
    }

    @Nested
    class StalledSidecars {
        /** Guards against requests that hang until their deadline because the link to a sidecar is stalled. */
        @Test
        void loseTheirIdempotentRequestsToOtherUpstreams() {
            entry.chat(false);
            int stalled = entry.peers.last().port();
            entry.statuses.remove(stalled);
            for (int i = 0; i < 60 && entry.peers.calls.size() == 1; i++) {
                entry.advance(Duration.ofMillis(100));
                entry.poller.poll();
                entry.settle();
            }
            assertThat(entry.peers.calls).hasSize(2);
            assertThat(entry.peers.last().port()).isNotEqualTo(stalled);
        }
    }

    @Nested
    class Verdicts {
        /** Guards against the verdict "not run" for a request that an earlier attempt may have run. */
        @Test
        void keepTheUncertaintyOfEarlierAttempts() {
            EntryFixture.FakeSink caller = entry.chat(false);
            entry.peers.last().failConnection(Verdict.MAY_HAVE_RUN);
            entry.peers.last().fail(Verdict.NOT_RUN, ErrorCode.DEADLINE_EXCEEDED);
            assertThat(caller.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }

        /** Guards against an uncertain verdict for a request that was never sent. */
        @Test
        void areNotRunWhenNothingWasSent() {
            EntryFixture.FakeSink caller = entry.chat(false);
            entry.peers.last().failConnection(Verdict.NOT_RUN);
            entry.peers.last().failConnection(Verdict.NOT_RUN);
            while (caller.failure.isEmpty()) {
                entry.peers.last().failConnection(Verdict.NOT_RUN);
            }
            assertThat(caller.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(entry.lastRecord().verdict()).isEqualTo(Verdict.NOT_RUN);
        }

        /** Guards against a sidecar that reports "not run" after it sent a part of the answer. */
        @Test
        void areUncertainAfterAPartialAnswer() {
            entry.chat(false);
            entry.peers.last().head("application/json").fail(Verdict.NOT_RUN, ErrorCode.UPSTREAM_FAILED);
            entry.endAttempts(EntryFixture.FakeCall::crash);
            assertThat(entry.lastRecord().attempts().get(0).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }

        @Test
        void areUncertainAtTheDeadlineOfARunningRequest() {
            EntryFixture.FakeSink caller = entry.chat(false);
            entry.advance(Duration.ofSeconds(31));
            assertThat(caller.code()).isEqualTo(ErrorCode.DEADLINE_EXCEEDED);
            assertThat(caller.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
            assertThat(entry.peers.last().sent).anyMatch(Envelope::hasCancel);
        }
    }
}
