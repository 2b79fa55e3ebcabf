package org.masticcroft.gateway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.fleet.Evacuations;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.load.LoadReport;

/**
 * Pattern: 16 entries send 466 requests a second to 36 engines of 12 slots in three data centres, of which the first
 * returns from an evacuation. Entries know the load of others from reports every 100 ms.
 */
class GradualRefillTest {
    private static final Optional<EngineProfile> PROFILE = Optional.of(new EngineProfile("m", 5, 9, 0.04, 19));
    private static final int ENTRIES = 16;
    private static final int ENGINES = 36;
    private static final int RETURNING = 12;
    private static final int SLOTS = 12;
    private static final int RATE = 466;
    private static final int STEP_MILLIS = 10;
    private static final int REPORT_MILLIS = 100;
    private static final int FIRST_BYTE_MILLIS = 150;
    private static final int SERVICE_MILLIS = 900;
    private static final int RETURN_MILLIS = 3000;

    /** Requests that the returning engines serve in a quarter second. */
    private static final long SERVED_PER_QUARTER = 250L * RETURNING * SLOTS / SERVICE_MILLIS;

    private final Random random = new Random(5);
    private final Evacuations evacuations = Evacuations.none();
    private final List<List<Upstream>> tables = new ArrayList<>();
    private final List<UpstreamChooser> choosers = new ArrayList<>();

    /** Times in milliseconds at which the open requests end, with their upstream, for each engine. */
    private final List<Deque<Running>> running = new ArrayList<>();

    /** Times in milliseconds at which each engine received requests since the return. */
    private final List<List<Integer>> received = new ArrayList<>();

    private int millis;
    private double due;
    private int lastReportMillis = Integer.MAX_VALUE;

    /** Times at which the first bytes of the requests arrive, with their upstream. */
    private final Deque<Running> unanswered = new ArrayDeque<>();

    private record Running(int endMillis, Upstream upstream) {}

    private void createFleet(boolean gradual) {
        for (int engine = 0; engine < ENGINES; engine++) {
            running.add(new ArrayDeque<>());
            received.add(new ArrayList<>());
        }
        for (int entry = 0; entry < ENTRIES; entry++) {
            PlacementRule evacuated = EvacuatedDataCentres.of(evacuations);
            choosers.add(UpstreamChooser.of(
                    "z" + entry % 3,
                    gradual
                            ? PlacementRules.of(evacuated, GradualRefill.of(evacuations, random))
                            : PlacementRules.of(evacuated)));
            List<Upstream> table = new ArrayList<>();
            for (int engine = 0; engine < ENGINES; engine++) {
                Address address = new Address("10.0.0." + (engine + 1), 80);
                table.add(Upstream.of(
                        new UpstreamListing(
                                "e" + engine,
                                "s",
                                address,
                                "z" + engine / RETURNING,
                                SLOTS,
                                false,
                                1,
                                1,
                                OptionalLong.of(1)),
                        0));
            }
            tables.add(table);
        }
    }

    private long nanos() {
        return millis * 1_000_000L;
    }

    private void play(int untilMillis) {
        for (; millis < untilMillis; millis += STEP_MILLIS) {
            while (!unanswered.isEmpty() && unanswered.getFirst().endMillis <= millis) {
                long sentNanos = nanos() - FIRST_BYTE_MILLIS * 1_000_000L;
                unanswered.removeFirst().upstream.recordFirstByte(800, sentNanos, nanos());
            }
            for (Deque<Running> open : running) {
                while (!open.isEmpty() && open.getFirst().endMillis <= millis) {
                    open.removeFirst().upstream.recordEnd();
                }
            }
            if (millis % REPORT_MILLIS == 0 && millis <= lastReportMillis) {
                for (int engine = 0; engine < ENGINES; engine++) {
                    LoadReport report = new LoadReport(
                            1, running.get(engine).size(), 0, false, false, OptionalLong.of(1), 1, ENTRIES, 0);
                    for (List<Upstream> table : tables) {
                        table.get(engine).applyReport(report, nanos());
                    }
                }
            }
            for (due += RATE * STEP_MILLIS / 1000.0; due >= 1; due--) {
                send(random.nextInt(ENTRIES));
            }
        }
    }

    private void send(int entry) {
        FakeRequest request =
                new FakeRequest("r", new Rank(1, 1), nanos(), Duration.ofMillis(400), Duration.ofSeconds(6));
        Optional<QueuedRequest.Choice> choice =
                choosers.get(entry).choose(request, tables.get(entry), PROFILE, VersionLimit.none(), nanos());
        if (choice.isEmpty()) {
            return;
        }
        Upstream upstream = choice.get().upstream();
        choosers.get(entry).onSend(request, upstream, nanos());
        upstream.recordSend(request.promptTokens(), nanos());
        unanswered.addLast(new Running(millis + FIRST_BYTE_MILLIS, upstream));
        int engine = Integer.parseInt(upstream.id().substring(1));
        running.get(engine).addLast(new Running(millis + SERVICE_MILLIS, upstream));
        received.get(engine).add(millis);
    }

    /** Plays a return of the first data centre; returns what it gets in each quarter second from then on. */
    private List<Long> playReturn(boolean gradual) {
        createFleet(gradual);
        evacuations.request("z0", nanos());
        play(RETURN_MILLIS);
        assertThat(received.subList(0, RETURNING)).allMatch(List::isEmpty);
        evacuations.revoke("z0", nanos());
        play(RETURN_MILLIS + 6000);
        return IntStream.range(0, 24).mapToObj(this::receivedInQuarter).toList();
    }

    private long receivedInQuarter(int quarter) {
        int start = RETURN_MILLIS + 250 * quarter;
        return received.subList(0, RETURNING).stream()
                .flatMap(List::stream)
                .filter(time -> time >= start && time < start + 250)
                .count();
    }

    @Nested
    class AReturningDataCentre {
        /** Shows the pattern: the first quarter second brings more than the engines serve in that time. */
        @Test
        void attractsABurstWithoutTheRule() {
            assertThat(playReturn(false).get(0)).isGreaterThan(SERVED_PER_QUARTER);
        }

        /** Guards against a burst, also if the reports are lost and entries know nothing of the sends of others. */
        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void isFilledGradually(boolean reportsLost) {
            lastReportMillis = reportsLost ? RETURN_MILLIS : Integer.MAX_VALUE;
            List<Long> quarters = playReturn(true);
            assertThat(quarters.subList(0, 2)).allMatch(count -> count <= SERVED_PER_QUARTER / 4);
            assertThat(quarters.subList(0, 6)).allMatch(count -> count <= SERVED_PER_QUARTER / 2);
            assertThat(quarters.subList(0, 12)).allMatch(count -> count <= SERVED_PER_QUARTER);
            assertThat(quarters.subList(12, 24).stream()
                            .mapToLong(count -> count)
                            .sum())
                    .isGreaterThan(12 * SERVED_PER_QUARTER / 2);
        }
    }
}
