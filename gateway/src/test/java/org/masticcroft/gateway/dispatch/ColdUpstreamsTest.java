package org.masticcroft.gateway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticcroft.gateway.config.ColdLimits;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.load.LoadReport;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.time.ManualTimeSource;

/** Many entries send to one cold upstream, in simulated time. */
class ColdUpstreamsTest {
    private static final Duration COLD_TIME = Duration.ofSeconds(30);
    private static final Address COLD_ADDRESS = new Address("10.0.0.1", 80);
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int RUN_STEPS = 6000;
    private static final int REPORT_STEPS = 500;

    /** Latest arrival of a request after its send; a connection may have to be established first. */
    private static final int MAX_LATE_MILLIS = 99;

    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final DecisionLog log = DecisionLog.start(time, new PrintStream(OutputStream.nullOutputStream()));
    private final List<Entry> fleet = new ArrayList<>();
    private final List<Long> arrivals = new ArrayList<>();
    private Limits limits = new Limits(26, 1.5, 5);
    private final Random lateness = new Random(7);
    private int maxLateMillis;
    private long now;

    @AfterEach
    void closeLog() {
        log.close();
    }

    private record Limits(double perSecond, double over, double slack) {
        double bound() {
            return perSecond * over + slack;
        }
    }

    private final class Entry {
        private final UpstreamTable table = UpstreamTable.of(log);
        private final ColdUpstreams rule = ColdUpstreams.of(
                table, service -> new ColdLimits(COLD_TIME, limits.perSecond()), limits.over(), limits.slack(), log);

        private void list(String id, Address address, Duration coldTime) {
            table.put(new UpstreamListing(id, "s", address, "z1", 12, false, 1, 1, OptionalLong.of(1)), coldTime, now);
        }

        private int stated;

        private void report(int entries) {
            stated = entries > 0 ? entries : stated;
            table.applyReport(
                    COLD_ADDRESS, new LoadReport(1, 0, 0, false, false, OptionalLong.of(1), 1, entries, 0), now);
        }

        private void trySend() {
            FakeRequest request =
                    new FakeRequest("r", new Rank(1, 0), now, Duration.ofMillis(400), Duration.ofSeconds(6));
            for (Upstream upstream : table.listed()) {
                if (upstream.id().equals("cold") && rule.check(request, upstream, now) == PlacementDecision.ALLOWED) {
                    rule.onSend(request, upstream, now);
                    arrivals.add(now + TimeUnit.MILLISECONDS.toNanos(lateness.nextInt(maxLateMillis + 1)));
                }
            }
        }
    }

    private void start(int entries, Duration coldTime) {
        for (int i = 0; i < entries; i++) {
            Entry entry = new Entry();
            entry.list("cold", COLD_ADDRESS, coldTime);
            fleet.add(entry);
        }
    }

    /** Lets each entry try to send in each step in which the predicate holds for its index. */
    private void run(int steps, IntPredicate demand) {
        for (int step = 0; step < steps; step++) {
            if (step % REPORT_STEPS == 0) {
                fleet.stream().filter(entry -> entry.stated > 0).forEach(entry -> entry.report(entry.stated));
            }
            for (int i = 0; i < fleet.size(); i++) {
                if (demand.test(i)) {
                    fleet.get(i).trySend();
                }
            }
            now += STEP_NANOS;
        }
    }

    private int mostInAnySecond() {
        Collections.sort(arrivals);
        int most = 0;
        int first = 0;
        for (int last = 0; last < arrivals.size(); last++) {
            while (arrivals.get(last) - arrivals.get(first) > TimeUnit.SECONDS.toNanos(1)) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    @Nested
    class AHedge {
        /** Guards against hedges that use up what a cold upstream tolerates. */
        @Test
        void isNeverSentToAColdUpstream() {
            start(1, COLD_TIME);
            Entry entry = fleet.get(0);
            entry.report(1);
            Upstream cold = entry.table.listed().get(0);
            FakeRequest request =
                    new FakeRequest("r", new Rank(1, 0), now, Duration.ofMillis(400), Duration.ofSeconds(6));
            assertThat(entry.rule.check(request, cold, now)).isEqualTo(PlacementDecision.ALLOWED);

            request.hedge = true;
            assertThat(entry.rule.check(request, cold, now)).isEqualTo(PlacementDecision.COLD_RATE_REACHED);
        }
    }

    @Nested
    class ManyEntries {
        /** Guards against a sum beyond the bound, for random limits, numbers of entries and demand. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
        void keepTheBound(long seed) {
            Random random = new Random(seed);
            limits = new Limits(1 + random.nextInt(40), 1 + random.nextDouble(), random.nextInt(10));
            int entries = 1 + random.nextInt(50);
            start(entries, COLD_TIME);
            fleet.forEach(entry -> entry.report(entries));
            double demand = random.nextBoolean() ? 1 : 0.002;
            maxLateMillis = random.nextBoolean() ? MAX_LATE_MILLIS : 0;
            run(RUN_STEPS, i -> random.nextDouble() < demand);
            assertThat((double) mostInAnySecond()).isLessThanOrEqualTo(limits.bound());
        }

        /** Guards against bursts when all entries have waiting requests for an upstream that has just appeared. */
        @ParameterizedTest
        @ValueSource(ints = {1, 2, 13, 16, 20, 25, 41})
        void keepTheBoundAndUseTheRateWithWaitingRequests(int entries) {
            start(entries, COLD_TIME);
            fleet.forEach(entry -> entry.report(entries));
            run(RUN_STEPS, i -> true);
            assertThat((double) mostInAnySecond()).isLessThanOrEqualTo(limits.bound());
            double tolerated = limits.perSecond() * RUN_STEPS / 1000.0;
            assertThat((double) arrivals.size()).isBetween(0.8 * tolerated, tolerated + entries);
        }

        /** Guards against stale numbers: two of twenty have joined since, and know only what they hear next. */
        @Test
        void keepTheBoundWhileOthersJoin() {
            start(20, COLD_TIME);
            fleet.forEach(entry -> entry.report(18));
            fleet.subList(0, 5).forEach(entry -> entry.report(20));
            run(RUN_STEPS, i -> true);
            assertThat((double) mostInAnySecond()).isLessThanOrEqualTo(limits.bound());
        }

        /**
         * Guards against entries that keep to a share of earlier times: half of twenty have been out of touch with the
         * sidecars until they are no longer counted, and the others take larger shares.
         */
        @Test
        void keepTheBoundWhileSomeAreOutOfTouch() {
            start(20, COLD_TIME);
            fleet.forEach(entry -> entry.report(20));
            fleet.subList(0, 10).forEach(entry -> entry.stated = 0);
            run(3400, i -> false);
            fleet.subList(10, 20).forEach(entry -> entry.stated = 10);
            run(RUN_STEPS, i -> true);
            assertThat((double) mostInAnySecond()).isLessThanOrEqualTo(limits.bound());
        }

        /** Guards against a burst while all upstreams are cold and no sidecar states the number of entries yet. */
        @ParameterizedTest
        @ValueSource(ints = {1, 16, 20, 41})
        void keepTheBoundWithoutAStatedNumberIfAllUpstreamsAreCold(int entries) {
            start(entries, COLD_TIME);
            run(RUN_STEPS, i -> true);
            assertThat((double) mostInAnySecond()).isLessThanOrEqualTo(limits.bound());
            assertThat(arrivals).hasSizeGreaterThan(3 * entries);
        }

        /** Guards against requests just before an upstream turned cold that are not counted in the second after it. */
        @Test
        void addNothingToABusySecondInWhichTheUpstreamTurnsCold() {
            start(20, Duration.ZERO);
            fleet.forEach(entry -> entry.report(20));
            run(2, i -> true);
            int before = arrivals.size();
            fleet.forEach(
                    entry -> entry.table.listed().forEach(upstream -> upstream.recordCold(COLD_TIME, "listed", now)));
            run(1000, i -> true);
            assertThat(arrivals).hasSize(before);
            run(1000, i -> true);
            assertThat(arrivals).hasSizeGreaterThan(before);
        }
    }

    @Nested
    class AnEntryWithoutAStatedNumber {
        private int sent(Runnable change) {
            start(1, COLD_TIME);
            change.run();
            run(1, i -> true);
            return arrivals.size();
        }

        /** Guards against requests of an entry that does not know its share, although others serve. */
        @Test
        void avoidsTheUpstreamWhileOthersServe() {
            assertThat(sent(() -> fleet.get(0).list("warm", new Address("10.0.0.2", 80), Duration.ZERO)))
                    .isZero();
        }

        /** Guards against a sidecar whose restart takes the number away that all entries know. */
        @Test
        void keepsTheNumberThatWasStatedBefore() {
            assertThat(sent(() -> {
                        fleet.get(0).list("warm", new Address("10.0.0.2", 80), Duration.ZERO);
                        fleet.get(0).report(20);
                        fleet.get(0).report(0);
                    }))
                    .isEqualTo(1);
        }

        /** Guards against a just started sidecar that holds back all entries, although the others state the number. */
        @Test
        void takesTheNumberOfAnyOtherSidecar() {
            assertThat(sent(() -> {
                        fleet.get(0).list("warm", new Address("10.0.0.2", 80), Duration.ZERO);
                        fleet.get(0)
                                .table
                                .applyReport(
                                        new Address("10.0.0.2", 80),
                                        new LoadReport(1, 0, 0, false, false, OptionalLong.of(1), 1, 20, 0),
                                        now);
                    }))
                    .isEqualTo(1);
        }
    }

    @Nested
    class AnEntryThatReadsNoList {
        /** Guards against a burst to a restarted process that the list does not name yet, for example in an outage. */
        @Test
        void limitsAProcessThatItsSidecarReports() {
            start(1, Duration.ZERO);
            fleet.get(0).report(20);
            run(1, i -> true);
            fleet.get(0)
                    .table
                    .applyReport(
                            COLD_ADDRESS, new LoadReport(2, 0, 0, false, false, OptionalLong.of(1), 1, 20, 0), now);
            run(2000, i -> true);
            assertThat(arrivals).hasSizeBetween(2, 4);
        }
    }

    @Nested
    class AServiceWithoutLimits {
        /** Guards against a change in deployments that state no rate for cold upstreams. */
        @Test
        void isNotLimited() {
            limits = new Limits(0, 1, 0);
            start(1, COLD_TIME);
            run(50, i -> true);
            assertThat(arrivals).hasSize(50);
        }
    }
}
