package org.masticcroft.kernel.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ClaimTableTest {
    private static final String KEY = "key";
    private static final Instant TIME = Instant.parse("2026-12-04T08:00:00Z");

    /**
     * Guards against an order that runs twice when several entries claim one key while append responses are lost,
     * records arrive late or twice, and entries abandon an attempt or crash before they write its outcome.
     */
    @Property(seed = "1207", tries = 3000)
    void runsAnOrderAtMostOnce(@ForAll @Size(max = 60) List<@IntRange(max = 99_999) Integer> steps) {
        Simulation simulation = new Simulation();
        steps.forEach(simulation::step);
        assertThat(simulation.executions).isLessThanOrEqualTo(1);
    }

    /** Guards against readers that disagree because they read the stream in parts of different sizes. */
    @Property(seed = "1208", tries = 500)
    void dependsOnTheRecordsOnly(@ForAll @Size(max = 40) List<@IntRange(max = 99_999) Integer> steps) {
        Simulation simulation = new Simulation();
        ClaimTable follower = ClaimTable.empty();
        int read = 0;
        for (int step : steps) {
            simulation.step(step);
            if (step % 3 == 0) {
                read = simulation.apply(follower, read);
            }
        }
        simulation.apply(follower, read);
        assertThat(follower.state(KEY)).isEqualTo(simulation.read().state(KEY));
    }

    private static ClaimBatch claim(String attempt) {
        return new ClaimBatch("b-" + attempt, List.of(new ClaimEntry.Claim(KEY, attempt, "entry", "call", 0)));
    }

    private static ClaimBatch notRun(String attempt) {
        return new ClaimBatch("n-" + attempt, List.of(ClaimEntry.Outcome.notRun(KEY, attempt)));
    }

    private static ClaimBatch ran(String attempt) {
        return new ClaimBatch(
                "r-" + attempt, List.of(ClaimEntry.Outcome.ran(KEY, attempt, 200, Optional.of("digest"))));
    }

    private static ClaimTable fold(ClaimBatch... batches) {
        ClaimTable table = ClaimTable.empty();
        for (ClaimBatch batch : batches) {
            table.apply(ClaimBatch.fromJson(batch.toJson()).orElseThrow(), TIME);
        }
        return table;
    }

    @Nested
    class Ownership {
        /** Guards against two entries that both run an order after they claimed its key concurrently. */
        @Test
        void belongsToTheFirstClaim() {
            ClaimTable table = fold(claim("a"), claim("b"));
            assertThat(table.isOwner(KEY, "a")).isTrue();
            assertThat(table.isOwner(KEY, "b")).isFalse();
        }

        @Test
        void passesToTheFirstClaimAfterNotRun() {
            assertThat(fold(claim("a"), claim("b"), notRun("a"), claim("c")).isOwner(KEY, "c"))
                    .isTrue();
        }

        /** Guards against an entry without ownership that releases the key of the owner. */
        @Test
        void isNotReleasedByTheOutcomeOfAnotherAttempt() {
            assertThat(fold(claim("a"), claim("b"), notRun("b")).isOwner(KEY, "a"))
                    .isTrue();
        }

        /** Guards against an abandoned claim that the log accepts late and that then blocks the key permanently. */
        @Test
        void isNotAcquiredByAnAbandonedClaim() {
            assertThat(fold(notRun("a"), claim("a")).state(KEY)).isEqualTo(new ClaimState.Free());
        }

        /** Guards against a duplicate of a released claim that acquires the key again. */
        @Test
        void isNotAcquiredTwiceByOneAttempt() {
            assertThat(fold(claim("a"), notRun("a"), claim("a")).state(KEY)).isEqualTo(new ClaimState.Free());
        }

        /** Guards against the key of an executed order that a late record releases. */
        @Test
        void isNeverAcquiredAfterExecution() {
            ClaimTable table = fold(claim("a"), ran("a"), notRun("a"), claim("b"));
            assertThat(table.state(KEY)).isInstanceOf(ClaimState.Ran.class);
        }
    }

    @Nested
    class Records {
        @Test
        void thatAreNoBatchesAreIgnored() {
            assertThat(ClaimBatch.fromJson("no json".getBytes())).isEmpty();
        }

        @Test
        void areEvictedAfterTheirLifetime() {
            ClaimTable table = fold(claim("a"));
            table.evictBefore(TIME);
            assertThat(table.size()).isEqualTo(1);
            table.evictBefore(TIME.plusMillis(1));
            assertThat(table.size()).isZero();
        }
    }

    /** Simulates four entries that claim one key by the protocol of the claim log. */
    private static final class Simulation {
        private static final int ENTRIES = 4;

        private final List<ClaimBatch> stream = new ArrayList<>();
        private final List<ClaimBatch> inFlight = new ArrayList<>();
        private final String[] pendingAttempts = new String[ENTRIES];
        private int executions;
        private int nextAttempt;

        /** Performs the step that the digits of {@code number} select. */
        private void step(int number) {
            int entry = number / 10 % ENTRIES;
            boolean keepCopy = number / 100 % 2 == 0;
            switch (number % 6) {
                case 0 -> startAttempt(entry, stream);
                case 1 -> startAttempt(entry, inFlight);
                case 2 -> deliver(keepCopy);
                case 3 -> runIfOwner(entry, number / 1000);
                case 4 -> abandon(entry);
                default -> {
                    if (!stream.isEmpty()) {
                        stream.add(stream.get(number % stream.size()));
                    }
                }
            }
        }

        private void startAttempt(int entry, List<ClaimBatch> target) {
            if (pendingAttempts[entry] == null) {
                pendingAttempts[entry] = "attempt-" + nextAttempt++;
                target.add(claim(pendingAttempts[entry]));
            }
        }

        private void deliver(boolean keepCopy) {
            if (!inFlight.isEmpty()) {
                stream.add(keepCopy ? inFlight.get(0) : inFlight.remove(0));
            }
        }

        private void runIfOwner(int entry, int outcomeChoice) {
            String attempt = pendingAttempts[entry];
            boolean inStream = stream.stream().anyMatch(batch -> batch.batchId().equals("b-" + attempt));
            if (attempt == null || !inStream) {
                return;
            }
            pendingAttempts[entry] = null;
            if (read().isOwner(KEY, attempt)) {
                run(attempt, outcomeChoice % 4);
            }
        }

        /** Runs the order, or abandons it before execution; after execution the outcome may be late or missing. */
        private void run(String attempt, int outcomeChoice) {
            if (outcomeChoice == 0) {
                stream.add(notRun(attempt));
                return;
            }
            executions++;
            if (outcomeChoice == 1) {
                stream.add(ran(attempt));
            } else if (outcomeChoice == 2) {
                inFlight.add(ran(attempt));
            }
        }

        private void abandon(int entry) {
            if (pendingAttempts[entry] != null) {
                stream.add(notRun(pendingAttempts[entry]));
                pendingAttempts[entry] = null;
            }
        }

        private ClaimTable read() {
            ClaimTable table = ClaimTable.empty();
            apply(table, 0);
            return table;
        }

        private int apply(ClaimTable table, int from) {
            stream.subList(from, stream.size()).forEach(batch -> table.apply(batch, TIME));
            return stream.size();
        }
    }
}
