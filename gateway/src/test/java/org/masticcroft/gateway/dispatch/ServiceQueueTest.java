package org.masticcroft.gateway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.load.LoadReport;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.time.ManualTimeSource;

class ServiceQueueTest {
    private static final Duration TARGET = Duration.ofMillis(400);
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(6);
    private static final int SLOTS = 2;
    private static final Optional<EngineProfile> PROFILE = Optional.of(new EngineProfile("m", 5, 9, 0.04, 19));

    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final DecisionLog log = DecisionLog.start(time, new PrintStream(OutputStream.nullOutputStream()));
    private final UpstreamTable table = UpstreamTable.of(log);
    private final PathDelays paths = PathDelays.unknown();
    private final ServiceQueue queue =
            ServiceQueue.of("s", time, table, UpstreamChooser.of("z1", PlacementRules.of(), paths), log);

    @AfterEach
    void closeLog() {
        log.close();
    }

    private void list(String id, String ip, String zone, long version, boolean leaving) {
        list(id, ip, zone, version, leaving, SLOTS);
    }

    private void list(String id, String ip, String zone, long version, boolean leaving, int slots) {
        table.put(
                new UpstreamListing(
                        id,
                        "s",
                        new Address(ip, 80),
                        zone,
                        slots,
                        leaving,
                        1,
                        1,
                        version > 0 ? OptionalLong.of(version) : OptionalLong.empty()),
                time.nanoTime());
    }

    private FakeRequest request(String id, Rank rank) {
        return new FakeRequest(id, rank, time.nanoTime(), TARGET, CALLER_TIMEOUT);
    }

    private FakeRequest add(FakeRequest request, OptionalLong minVersion) {
        queue.add(request, PROFILE, untilBegin -> minVersion);
        return request;
    }

    private FakeRequest add(String id, int rank, OptionalLong minVersion) {
        return add(request(id, new Rank(1, rank)), minVersion);
    }

    private FakeRequest add(String id, int rank) {
        return add(id, rank, OptionalLong.empty());
    }

    private void complete(FakeRequest request) {
        Upstream upstream = request.choice.orElseThrow().upstream();
        upstream.recordFirstByte(request.promptTokens(), request.waitingSinceNanos(), time.nanoTime());
        upstream.recordEnd();
        queue.dispatchWaiting(PROFILE, VersionLimit.none());
    }

    @Nested
    class AForecast {
        private String decision() {
            int size = queue.size();
            QueueForecast forecast = queue.forecast(request("probe", new Rank(1, 1)), PROFILE, VersionLimit.none());
            assertThat(queue.size()).isEqualTo(size);
            return forecast.decision() + forecast.reason();
        }

        // Guards against a forecast that differs from what the queue does with the next request.
        @Test
        void statesWhatBecomesOfTheNextRequest() {
            assertThat(decision()).isEqualTo("refusedno-upstream");
            assertThat(add("a", 1).refusal.orElseThrow().reason()).isEqualTo("no-upstream");
            list("e1", "10.0.0.1", "z1", 1, false);
            assertThat(decision()).isEqualTo("sent");
            while (add("filling", 1).choice.isPresent()) {
                assertThat(queue.size()).isZero();
            }
            assertThat(decision()).isEqualTo("queued");
            int before = queue.size();
            add("queued", 1);
            assertThat(queue.size()).isEqualTo(before + 1);
        }
    }

    @Nested
    class AHedge {
        private boolean dispatched() {
            return queue.dispatchHedge(request("hedge", new Rank(0, 0)), PROFILE, VersionLimit.none(), choice -> true);
        }

        // Guards against a hedge that queues in a full engine, or takes the capacity that others wait for.
        @Test
        void isDispatchedToAFreeSlotWhileNoRequestWaits() {
            list("e1", "10.0.0.1", "z1", 1, false);
            assertThat(dispatched()).isTrue();
            while (add("filling", 2).choice.isPresent()) {
                assertThat(queue.size()).isZero();
            }
            list("e2", "10.0.0.2", "z1", 1, false);
            assertThat(dispatched()).isFalse();
            queue.dispatchWaiting(PROFILE, VersionLimit.none());
            assertThat(dispatched()).isTrue();
            assertThat(dispatched()).isFalse();
        }
    }

    @Nested
    class Order {
        // Guards against urgent requests that wait behind less urgent ones which arrived earlier.
        @Test
        void dispatchesTheFirstRankBeforeEarlierRequestsOfOtherRanks() {
            list("e1", "10.0.0.1", "z1", 1, false);
            FakeRequest a = add("a", 2);
            add("b", 2);
            FakeRequest low = add("low", 2);
            FakeRequest mid = add("mid", 1);
            complete(a);
            assertThat(mid.choice).isPresent();
            assertThat(low.choice).isEmpty();
        }

        // Guards against losing the order by urgency when all customers have the same rank.
        @Test
        void followsTheRouteRankAmongCustomersOfOneRank() {
            list("e1", "10.0.0.1", "z1", 1, false);
            FakeRequest a = add("a", 2);
            add("b", 2);
            FakeRequest low = add(request("low", Rank.of(OptionalInt.of(1), 2)), OptionalLong.empty());
            FakeRequest high = add(request("high", Rank.of(OptionalInt.of(1), 1)), OptionalLong.empty());
            complete(a);
            assertThat(high.choice).isPresent();
            assertThat(low.choice).isEmpty();
        }

        @Test
        void putsTheCustomerRankBeforeTheRouteRank() {
            list("e1", "10.0.0.1", "z1", 1, false);
            FakeRequest a = add("a", 2);
            add("b", 2);
            FakeRequest other = add(request("other", Rank.of(OptionalInt.of(1), 1)), OptionalLong.empty());
            FakeRequest preferred = add(request("preferred", Rank.of(OptionalInt.of(0), 2)), OptionalLong.empty());
            complete(a);
            assertThat(preferred.choice).isPresent();
            assertThat(other.choice).isEmpty();
        }

        // Guards against an interrupted stream that waits behind new requests until its caller disconnects.
        @Test
        void dispatchesRetriesFirst() {
            list("e1", "10.0.0.1", "z1", 1, false);
            FakeRequest a = add("a", 1);
            add("b", 1);
            FakeRequest fresh = add("fresh", 1);
            FakeRequest resent = request("resent", new Rank(1, 2));
            resent.alreadySent = true;
            add(resent, OptionalLong.empty());
            complete(a);
            assertThat(resent.choice).isPresent();
            assertThat(fresh.choice).isEmpty();
        }

        // Guards against requests that wait behind a retry whose upstream is the only one with room.
        @Test
        void dispatchesOthersToTheUpstreamThatARetryHasTried() {
            list("tried", "10.0.0.1", "z1", 1, false);
            FakeRequest open = add("open", 2);
            while (add("filling", 2).choice.isPresent()) {
                // The upstream has room for more.
            }
            FakeRequest retry = request("retry", new Rank(1, 2));
            retry.alreadySent = true;
            retry.triedUpstreams().add("tried");
            add(retry, OptionalLong.empty());
            FakeRequest urgent = add("urgent", 1);
            assertThat(urgent.choice).isEmpty();

            complete(open);
            assertThat(retry.choice).isEmpty();
            assertThat(urgent.choice).isPresent();
        }

        // Guards against a new request that takes the room which a retry is about to get.
        @Test
        void keepsTheRoomThatARetryCanUseFromNewRequests() {
            list("e1", "10.0.0.1", "z1", 1, false);
            FakeRequest open = add("open", 2);
            while (add("filling", 2).choice.isPresent()) {
                // The upstream has room for more.
            }
            FakeRequest retry = request("retry", new Rank(1, 2));
            retry.alreadySent = true;
            add(retry, OptionalLong.empty());
            Upstream upstream = open.choice.orElseThrow().upstream();
            upstream.recordFirstByte(open.promptTokens(), open.waitingSinceNanos(), time.nanoTime());
            upstream.recordEnd();

            assertThat(add("new", 0).choice).isEmpty();
            queue.dispatchWaiting(PROFILE, VersionLimit.none());
            assertThat(retry.choice).isPresent();
        }

        // Guards against a backlog of late requests that makes the requests behind it late as well.
        @Test
        void dispatchesARequestOnTimeBeforeALateOneOfAMoreUrgentRank() {
            list("e1", "10.0.0.1", "z1", 1, false);
            FakeRequest a = add("a", 2);
            add("b", 2);
            FakeRequest late = add("late", 1);
            time.advance(TARGET.plusMillis(1));
            FakeRequest fresh = add("fresh", 2);
            complete(a);
            assertThat(fresh.choice).isPresent();
            assertThat(late.choice).isEmpty();
        }

        // Guards against a backlog in which each request is sent when it can only just be late.
        @Test
        void dispatchesARequestThatCanBeOnTimeBeforeOneThatNoLongerCan() {
            list("e1", "10.0.0.1", "z1", 1, false);
            for (int response = 0; response < 50; response++) {
                queue.recordTimeToFirstByte(TARGET.dividedBy(2));
            }
            FakeRequest a = add("a", 2);
            add("b", 2);
            FakeRequest almostLate = add("almost-late", 1);
            time.advance(TARGET.multipliedBy(2).dividedBy(3));
            FakeRequest fresh = add("fresh", 2);
            complete(a);
            assertThat(fresh.choice).isPresent();
            assertThat(almostLate.choice).isEmpty();
        }

        @Test
        void queuesTheFirstRankInAFullEngine() {
            list("e1", "10.0.0.1", "z1", 1, false);
            add("a", 2);
            add("b", 2);
            assertThat(add("urgent", 0).choice).isPresent();
            assertThat(add("other", 1).choice).isEmpty();
        }
    }

    @Nested
    class Choice {
        @Test
        void prefersTheDataCentreOfTheEntry() {
            list("far", "10.0.0.1", "z2", 1, false);
            list("near", "10.0.0.2", "z1", 1, false);
            assertThat(add("a", 0).choice.orElseThrow().upstream().id()).isEqualTo("near");
        }

        // Guards against new requests for an upstream that is leaving.
        @Test
        void neverPicksAnUpstreamThatIsLeaving() {
            list("e1", "10.0.0.1", "z1", 1, true);
            assertThat(add("a", 0).choice).isEmpty();
        }

        // Guards against requests that are dispatched to weights which must no longer serve.
        @Test
        void neverPicksWeightsBelowTheMinimumVersion() {
            list("old", "10.0.0.1", "z1", 1, false);
            list("none", "10.0.0.2", "z1", 0, false);
            list("new", "10.0.0.3", "z2", 2, false);
            assertThat(add("a", 0, OptionalLong.of(2))
                            .choice
                            .orElseThrow()
                            .upstream()
                            .id())
                    .isEqualTo("new");
        }

        // Guards against stalls of all running responses of an engine while it prefills many prompts at once.
        @Test
        void limitsThePendingPrefillOfAnEngine() {
            list("e1", "10.0.0.1", "z1", 1, false, 16);
            FakeRequest first = add("a", 1);
            for (int i = 0; i < 10; i++) {
                add("r" + i, 1);
            }
            Upstream engine = first.choice.orElseThrow().upstream();
            assertThat(PROFILE.orElseThrow().prefillMillis(engine.pendingPromptTokens()))
                    .isLessThanOrEqualTo(150);
            assertThat(engine.inFlight()).isBetween(2, 4);
            engine.recordFirstByte(10_000, first.waitingSinceNanos(), time.nanoTime());
            queue.dispatchWaiting(PROFILE, VersionLimit.none());
            assertThat(engine.inFlight()).isGreaterThan(4);
        }

        // Guards against an engine that is overloaded because several entries send to it at the same time.
        @Test
        void countsTheRequestsOfOtherEntries() {
            list("e1", "10.0.0.1", "z1", 1, false);
            list("e2", "10.0.0.2", "z2", 1, false);
            table.applyReport(
                    new Address("10.0.0.1", 80),
                    new LoadReport(1, SLOTS, 3, false, false, OptionalLong.of(1), 1),
                    time.nanoTime());
            assertThat(add("a", 0).choice.orElseThrow().upstream().id()).isEqualTo("e2");
        }

        // Pattern: slow engines. Guards against work that goes to a slow engine although a fast one is as free.
        @Test
        void avoidsAnEngineThatIsSlowerThanItsCostModel() {
            list("e1", "10.0.0.1", "z1", 1, false, 8);
            list("e2", "10.0.0.2", "z1", 1, false, 8);
            table.applyReport(
                    new Address("10.0.0.1", 80),
                    new LoadReport(1, 0, 0, false, false, OptionalLong.of(1), 2.5),
                    time.nanoTime());
            table.applyReport(
                    new Address("10.0.0.2", 80),
                    new LoadReport(1, 3, 0, false, false, OptionalLong.of(1), 1),
                    time.nanoTime());
            assertThat(add("a", 0).choice.orElseThrow().upstream().id()).isEqualTo("e2");
        }

        // Guards against a report of an earlier process of an engine that is applied to the restarted one.
        @Test
        void ignoresReportsOfAnEarlierProcess() {
            list("e1", "10.0.0.1", "z1", 1, false);
            table.applyReport(
                    new Address("10.0.0.1", 80),
                    new LoadReport(99, SLOTS, 9, false, false, OptionalLong.of(1), 1),
                    time.nanoTime());
            assertThat(add("a", 0).choice).isPresent();
        }
    }

    @Nested
    class OutdatedWeights {
        private static final Duration UNTIL_BOUND = Duration.ofSeconds(1);

        private FakeRequest addShortlyBeforeTheBound() {
            list("e1", "10.0.0.1", "z1", 1, false);
            FakeRequest request = request("a", new Rank(1, 1));
            queue.add(
                    request,
                    PROFILE,
                    untilBegin -> untilBegin.compareTo(UNTIL_BOUND) < 0 ? OptionalLong.empty() : OptionalLong.of(2));
            return request;
        }

        @Test
        void serveARequestThatBeginsInTime() {
            assertThat(addShortlyBeforeTheBound().choice).isPresent();
        }

        /**
         * Guards against a request that begins on outdated weights after the bound, because it waits in a loaded engine
         * of which this entry has no response yet.
         */
        @Test
        void serveNoRequestThatWaitsAsLongAsOthersOfTheService() {
            for (int i = 0; i < 50; i++) {
                queue.recordTimeToFirstByte(Duration.ofMillis(600));
            }
            assertThat(addShortlyBeforeTheBound().refusal).isPresent();
        }

        /** Guards against a request that begins after the bound, because the link to its engine is full. */
        @Test
        void serveNoRequestThatIsLongOnItsWay() {
            paths.record("z1", Duration.ofMillis(900), time.nanoTime());
            assertThat(addShortlyBeforeTheBound().refusal).isPresent();
        }

        /** Guards against an entry that avoids a data centre long after the link to it was full. */
        @Test
        void serveARequestWhoseWayIsShortAgain() {
            paths.record("z1", Duration.ofMillis(900), time.nanoTime());
            paths.record("z2", Duration.ofMillis(900), time.nanoTime());
            time.advance(Duration.ofSeconds(4));
            assertThat(addShortlyBeforeTheBound().choice).isPresent();
        }
    }

    @Nested
    class Pauses {
        private void pause(String id, Duration duration) {
            table.listed().stream()
                    .filter(upstream -> upstream.id().equals(id))
                    .forEach(upstream -> upstream.recordPause(time.nanoTime(), duration));
        }

        /** Guards against requests that wait for upstreams whose pause ends after the callers have left. */
        @Test
        void ofAllUpstreamsRefuseAtOnceWhatTheyOutlast() {
            list("e1", "10.0.0.1", "z1", 1, false);
            pause("e1", CALLER_TIMEOUT);

            assertThat(add("a", 1).refusal).isPresent();
        }

        /** Guards against requests that are refused although the pause ends in time. */
        @Test
        void thatEndInTimeLetRequestsWait() {
            list("e1", "10.0.0.1", "z1", 1, false);
            pause("e1", Duration.ofMillis(100));
            FakeRequest request = add("a", 1);
            assertThat(request.refusal).isEmpty();

            time.advance(Duration.ofMillis(100));
            queue.dispatchWaiting(PROFILE, VersionLimit.none());
            assertThat(request.choice).isPresent();
        }

        /** Guards against the pause of one upstream that stops the others. */
        @Test
        void ofOneUpstreamLeaveTheOthersAlone() {
            list("e1", "10.0.0.1", "z1", 1, false);
            list("e2", "10.0.0.2", "z1", 1, false);
            pause("e1", CALLER_TIMEOUT);

            assertThat(add("a", 1).choice.orElseThrow().upstream().id()).isEqualTo("e2");
        }
    }

    @Nested
    class Refusals {
        // Guards against requests that are queued although no upstream can serve them.
        @Test
        void areGivenAtOnceWhileNoUpstreamServes() {
            list("e1", "10.0.0.1", "z1", 1, false);
            FakeRequest request = add("a", 0, OptionalLong.of(2));
            assertThat(request.refusal.orElseThrow().reason()).isEqualTo("no-upstream");
            assertThat(request.refusal.orElseThrow().retryAfter()).isPositive();
        }

        @Test
        void areGivenAtArrivalWhenTheWaitWouldBeTooLong() {
            list("e1", "10.0.0.1", "z1", 1, false);
            FakeRequest last = null;
            for (int i = 0; i < 200; i++) {
                last = add("r" + i, 2);
            }
            assertThat(last.refusal.orElseThrow().reason()).isEqualTo("expected-wait");
        }

        // Guards against requests of a low rank that are queued although more urgent arrivals use all the capacity.
        @Test
        void countTheMoreUrgentArrivals() {
            list("e1", "10.0.0.1", "z1", 1, false);
            add("a", 1);
            add("b", 1);
            for (int i = 0; i < 40; i++) {
                time.advance(Duration.ofMillis(50));
                queue.dispatchWaiting(PROFILE, VersionLimit.none());
                add("urgent" + i, 1);
            }
            assertThat(add("low", 2).refusal.orElseThrow().reason()).isEqualTo("expected-wait");
        }

        // Guards against requests that stay queued through an outage until their callers disconnect.
        @Test
        void areGivenToAllQueuedRequestsWhenNoUpstreamServesAnyMore() {
            list("e1", "10.0.0.1", "z1", 1, false);
            add("a", 1);
            add("b", 1);
            FakeRequest waiting = add("c", 1);
            assertThat(waiting.refusal).isEmpty();
            queue.dispatchWaiting(PROFILE, untilBegin -> OptionalLong.of(2));
            assertThat(waiting.refusal.orElseThrow().reason()).isEqualTo("no-upstream");
        }

        // Guards against requests that are queued for engines which would begin them only after the bound on their
        // version.
        @Test
        void areGivenAtOnceWhenNoEngineWouldBeginInTime() {
            list("e1", "10.0.0.1", "z1", 1, false);
            Duration left = Duration.ofMillis(1000);
            VersionLimit limit =
                    untilBegin -> untilBegin.compareTo(left) > 0 ? OptionalLong.of(2) : OptionalLong.empty();
            FakeRequest slow = add("a", 1);
            time.advance(Duration.ofMillis(700));
            FakeRequest late = request("b", new Rank(1, 1));
            queue.add(late, PROFILE, limit);
            assertThat(slow.choice).isPresent();
            assertThat(late.refusal.orElseThrow().reason()).isEqualTo("no-upstream");
        }

        // Guards against an outage being assumed when engines are only full for a moment.
        @Test
        void areNotGivenBecauseAnEngineJustRefusedARequest() {
            list("e1", "10.0.0.1", "z1", 1, false);
            FakeRequest first = add("a", 1);
            first.choice.orElseThrow().upstream().recordRefusal(time.nanoTime(), Duration.ofMillis(60));
            FakeRequest second = add("b", 1);
            assertThat(second.refusal).isEmpty();
            time.advance(Duration.ofMillis(60));
            queue.dispatchWaiting(PROFILE, VersionLimit.none());
            assertThat(second.choice).isPresent();
        }

        @Test
        void areGivenBeforeTheCallerTimesOut() {
            list("e1", "10.0.0.1", "z1", 1, false);
            add("a", 2);
            add("b", 2);
            FakeRequest waiting = add("c", 2);
            time.advance(CALLER_TIMEOUT.minusMillis(100));
            queue.dispatchWaiting(PROFILE, VersionLimit.none());
            assertThat(waiting.refusal.orElseThrow().reason()).isEqualTo("no-time-left");
        }
    }
}
