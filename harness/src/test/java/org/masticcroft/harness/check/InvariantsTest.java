package org.masticcroft.harness.check;

import static org.assertj.core.api.Assertions.assertThat;
import static org.masticcroft.harness.check.HistoryBuilder.OTHER_WEIGHTS;
import static org.masticcroft.harness.check.HistoryBuilder.WEIGHTS;
import static org.masticcroft.harness.check.HistoryBuilder.answer;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against checks that miss a violation of an invariant, or report one where the invariant holds. */
class InvariantsTest {
    private final HistoryBuilder history = HistoryBuilder.create();

    private static void assertHolds(Finding finding) {
        assertThat(finding.violations()).isEmpty();
        assertThat(finding.checked()).as("cases").isPositive();
    }

    private static void assertViolated(Finding finding, String message) {
        assertThat(finding.violations()).hasSize(1);
        assertThat(finding.violations().get(0).message()).contains(message);
    }

    @Nested
    class Weights {
        @Test
        void holdsForTokensOfTheNamedWeights() {
            history.chat("a", 0).chatAnswer("a", 10, answer("p-a", WEIGHTS, 0, 4, 4));
            assertHolds(history.check(new ConsistentWeights()));
        }

        @Test
        void findsMixedWeights() {
            String mixed = answer("p-a", WEIGHTS, 0, 2, 4) + " " + answer("p-a", OTHER_WEIGHTS, 2, 4, 4);
            history.chat("a", 0).chatAnswer("a", 10, mixed);
            assertViolated(history.check(new ConsistentWeights()), "several sets of weights");
        }

        @Test
        void findsWeightsOtherThanTheHeaderNames() {
            history.chat("a", 0).chatAnswer("a", 10, answer("p-a", OTHER_WEIGHTS, 0, 4, 4));
            assertViolated(history.check(new ConsistentWeights()), "header names");
        }

        @Test
        void findsAnAnswerWithoutADigestInTheHeader() {
            history.chat("a", 0).outcome("a", 10, "{\"answer\":\"" + answer("p-a", WEIGHTS, 0, 4, 4) + "\"}");
            assertViolated(history.check(new ConsistentWeights()), "header names none");
        }
    }

    @Nested
    class Responses {
        @Test
        void holdsForWholeAnswersAndReportedErrors() {
            history.chat("a", 0).chatAnswer("a", 10, answer("p-a", WEIGHTS, 0, 4, 4));
            history.chat("b", 0)
                    .outcome(
                            "b",
                            10,
                            "{\"complete\":false,\"code\":\"UPSTREAM_FAILED\",\"weights_digest\":\"" + WEIGHTS
                                    + "\",\"answer\":\"" + answer("p-b", WEIGHTS, 0, 2, 4) + "\"}");
            history.read("c", 0).outcome("c", 10, "{\"answer\":\"{\\\"path\\\":\\\"/status?q=c\\\"}\"}");
            assertHolds(history.check(new CompleteOwnResponse()));
        }

        @Test
        void findsTheAnswerToAnotherRequest() {
            history.chat("a", 0).chatAnswer("a", 10, answer("p-b", WEIGHTS, 0, 4, 4));
            assertViolated(history.check(new CompleteOwnResponse()), "token 0");
        }

        @Test
        void findsAMissingTokenAndAShortAnswer() {
            history.chat("a", 0)
                    .chatAnswer("a", 10, answer("p-a", WEIGHTS, 0, 1, 4) + " " + answer("p-a", WEIGHTS, 2, 4, 4));
            assertViolated(history.check(new CompleteOwnResponse()), "token 1");
            HistoryBuilder other = HistoryBuilder.create();
            other.chat("a", 0).chatAnswer("a", 10, answer("p-a", WEIGHTS, 0, 3, 4));
            assertViolated(other.check(new CompleteOwnResponse()), "3 tokens of 4");
        }

        @Test
        void findsAnAnswerThatEndsEarlyWithoutAnError() {
            history.chat("a", 0).outcome("a", 10, "{\"complete\":false,\"answer\":\"\"}");
            assertViolated(history.check(new CompleteOwnResponse()), "without an error");
        }

        @Test
        void findsTheServiceResponseOfAnotherOrder() {
            history.order("a", "1.a", 0).outcome("a", 10, "{\"answer\":\"{\\\"body_sha256\\\":\\\"00\\\"}\"}");
            assertViolated(history.check(new CompleteOwnResponse()), "another request");
        }
    }

    @Nested
    class NotRunVerdicts {
        private static final String NOT_RUN = "{\"status\":503,\"verdict\":\"NOT_RUN\"}";

        @Test
        void holdsWithoutAnExecutionAndForARepeatedOrderThatRan() {
            history.chat("a", 0).outcome("a", 10, NOT_RUN);
            history.order("b1", "1.b", 0).outcome("b1", 10, NOT_RUN);
            history.order("b2", "1.b", 20).outcome("b2", 30, "{}").serviceExecution("r-b2", "1.b", "s1", 25);
            assertHolds(history.check(new TruthfulNotRun()));
        }

        @Test
        void findsAnExecutionByRequestId() {
            history.chat("a", 0).outcome("a", 10, NOT_RUN).engineExecution("r-a", "other", "e1", 5);
            assertViolated(history.check(new TruthfulNotRun()), "run by e1");
        }

        @Test
        void findsAnExecutionByAnAttemptIdAndByContent() {
            history.chat("a", 0).outcome("a", 10, NOT_RUN).engineExecution("r-a-2", "other", "e1", 5);
            assertViolated(history.check(new TruthfulNotRun()), "run by e1");
            HistoryBuilder other = HistoryBuilder.create();
            other.chat("a", 0).outcome("a", 10, NOT_RUN).engineExecution("x", "a", "e2", 5);
            assertViolated(other.check(new TruthfulNotRun()), "run by e2");
        }

        @Test
        void findsAnExecutionBeforeTheCopyThatWouldExplainIt() {
            history.order("b1", "1.b", 0).outcome("b1", 10, NOT_RUN).serviceExecution("x", "1.b", "s1", 5);
            history.order("b2", "1.b", 20).outcome("b2", 30, "{}");
            assertViolated(history.check(new TruthfulNotRun()), "run by s1");
        }
    }

    @Nested
    class Orders {
        @Test
        void holdsForOneExecutionOfSeveralCopies() {
            history.order("a1", "1.a", 0).outcome("a1", 10, "{}");
            history.order("a2", "1.a", 20).outcome("a2", 30, "{\"status\":409,\"verdict\":\"RAN\"}");
            history.serviceExecution("r-a1", "1.a", "s1", 5);
            assertHolds(history.check(new AtMostOnce()));
        }

        @Test
        void findsTwoExecutionsOfOneKey() {
            history.order("a1", "1.a", 0).outcome("a1", 10, "{}").serviceExecution("r-a1", "1.a", "s1", 5);
            history.order("a2", "1.a", 0).outcome("a2", 10, "{}").serviceExecution("r-a2", "1.a", "s2", 5);
            assertViolated(history.check(new AtMostOnce()), "run 2 times");
        }

        @Test
        void findsTwoExecutionsOfOneRequestInTheSameMillisecond() {
            history.order("a1", "1.a", 0).outcome("a1", 10, "{}");
            history.serviceExecution("r-a1", "1.a", "s1", 5).serviceExecution("r-a1", "1.a", "s1", 5);
            assertViolated(history.check(new AtMostOnce()), "run 2 times");
        }
    }

    @Nested
    class LeavingUpstreams {
        @Test
        void holdsForWorkWithinTheBoundElsewhereAndAfterTheReturn() {
            history.mark("leaving", "e1", 1_000).mark("returned", "e1", 9_000);
            history.engineExecution("r1", "a", "e1", 4_000).engineExecution("r2", "b", "e2", 8_000);
            history.engineExecution("r3", "c", "e1", 9_000);
            assertHolds(history.check(new NoWorkWhileLeaving()));
        }

        @Test
        void findsWorkAfterTheBound() {
            history.mark("leaving", "e1", 1_000).chat("a", 4_000).engineExecution("r-a", "a", "e1", 4_001);
            Finding finding = history.check(new NoWorkWhileLeaving());
            assertViolated(finding, "3001 ms");
            assertThat(finding.violations().get(0).requestIds()).containsExactly("a");
        }
    }

    @Nested
    class PlannedStops {
        private static final String BROKEN = "{\"status\":0,\"complete\":false,\"error\":\"broken\",\"upstream\":\"\"}";

        @Test
        void holdsForFinishedRefusedAndNewRequests() {
            history.mark("stop-begin", "127.0.0.1:1", 1_000).mark("stop-end", "127.0.0.1:1", 5_000);
            history.chat("a", 900).outcome("a", 2_000, "{}");
            history.chat("b", 1_100).outcome("b", 1_200, "{\"status\":503,\"verdict\":\"NOT_RUN\"}");
            history.chat("c", 1_100).outcome("c", 1_200, BROKEN);
            history.order("d", "1.d", 900).outcome("d", 1_200, "{\"status\":409,\"verdict\":\"MAY_HAVE_RUN\"}");
            history.chat("e", 5_100).outcome("e", 5_200, BROKEN);
            assertHolds(history.check(new GracefulStop()));
        }

        @Test
        void findsABrokenConnectionOfARequestInProgress() {
            history.mark("stop-begin", "127.0.0.1:1", 1_000).mark("stop-end", "127.0.0.1:1", 5_000);
            history.chat("a", 900).outcome("a", 2_000, BROKEN);
            assertViolated(history.check(new GracefulStop()), "cut off");
        }

        @Test
        void findsACutOffRequestThatWasSentDuringTheStopAndExecuted() {
            history.mark("stop-begin", "e1", 1_000).mark("stop-end", "e1", 5_000);
            history.chat("a", 1_100).outcome("a", 2_000, BROKEN).engineExecution("r-a", "a", "e1", 1_200);
            assertViolated(history.check(new GracefulStop()), "cut off");
        }

        @Test
        void findsAnUncertainVerdictFromTheStoppingUpstream() {
            history.mark("stop-begin", "e1", 1_000);
            history.chat("a", 900).outcome("a", 2_000, "{\"status\":502,\"verdict\":\"MAY_HAVE_RUN\"}");
            assertViolated(history.check(new GracefulStop()), "MAY_HAVE_RUN");
        }

        @Test
        void findsABrokenConnectionToTheStoppingEntryDuringAFaultElsewhere() {
            history.mark("stop-begin", "127.0.0.1:1", 1_000).mark("fault-begin", "e1", 900);
            history.chat("a", 900).outcome("a", 2_000, BROKEN);
            history.chat("b", 900).outcome("b", 2_000, "{\"error\":\"broken\",\"complete\":false}");
            assertThat(history.check(new GracefulStop()).violations()).hasSize(2);
        }

        @Test
        void ignoresAnErrorOfAFaultyUpstreamAtTheStoppingEntry() {
            history.mark("stop-begin", "127.0.0.1:1", 1_000).mark("fault-begin", "e1", 950);
            history.mark("fault-end", "e1", 1_500);
            history.chat("a", 900).outcome("a", 2_000, "{\"status\":502,\"verdict\":\"MAY_HAVE_RUN\"}");
            assertHolds(history.check(new GracefulStop()));
        }

        @Test
        void findsAnErrorOfAnotherUpstreamThanTheFaultyOne() {
            history.mark("stop-begin", "127.0.0.1:1", 1_000).mark("fault-begin", "e2", 950);
            history.chat("a", 900).outcome("a", 2_000, "{\"status\":502,\"verdict\":\"RAN\"}");
            assertViolated(history.check(new GracefulStop()), "RAN");
        }

        @Test
        void ignoresRequestsOfUnknownUpstreamDuringAnotherFault() {
            history.mark("stop-begin", "e1", 1_000)
                    .mark("fault-begin", "e2", 1_500)
                    .mark("fault-end", "e2", 2_500);
            history.chat("a", 900).outcome("a", 2_000, BROKEN);
            assertHolds(history.check(new GracefulStop()));
        }
    }

    @Nested
    class Configuration {
        @Test
        void holdsForVersionsThatGrowWithinTheBound() {
            history.mark("config-accepted", "2", 1_000);
            history.chat("a", 8_999).outcome("a", 9_010, "{\"config_version\":1}");
            history.chat("b", 9_000).outcome("b", 9_010, "{\"config_version\":2}");
            history.chat("c", 9_005)
                    .outcome("c", 9_020, "{\"status\":503,\"verdict\":\"NOT_RUN\",\"config_version\":1}");
            assertHolds(history.check(new ConfigInForce()));
        }

        @Test
        void findsALowerVersionAfterTheBound() {
            history.mark("config-accepted", "2", 1_000);
            history.chat("a", 9_000).outcome("a", 9_010, "{\"config_version\":1}");
            assertViolated(history.check(new ConfigInForce()), "8000 ms after version 2");
        }

        @Test
        void findsAVersionThatRevertsForCallerAndEntry() {
            history.chat("a", 0).outcome("a", 10, "{\"config_version\":3}");
            history.chat("b", 11).outcome("b", 20, "{\"config_version\":2}");
            Finding finding = history.check(new ConfigInForce());
            assertThat(finding.violations()).hasSize(2);
            assertThat(finding.violations().get(0).requestIds()).containsExactly("a", "b");
        }

        @Test
        void ignoresConcurrentRequests() {
            history.chat("a", 0).chat("b", 5);
            history.outcome("a", 10, "{\"config_version\":3}").outcome("b", 20, "{\"config_version\":2}");
            assertHolds(history.check(new ConfigInForce()));
        }
    }
}
