package org.masticcroft.entry.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.masticcroft.entry.EntryFixture;
import org.masticcroft.entry.EntryFixture.FakeCall;
import org.masticcroft.entry.EntryFixture.FakeLog;
import org.masticcroft.entry.EntryFixture.FakeSink;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.verdict.Verdict;

class OrderHistoryTest {
    /**
     * Guards against an order that runs twice, and against a caller that is told "not run" although its request ran,
     * under random combinations of lost and late log records, lost replies, late dispatches, paused entries and crashed
     * entries.
     */
    @Property(seed = "1209", tries = 400)
    void runsOrdersAtMostOnceAndReportsTruthfully(
            @ForAll @Size(min = 10, max = 80) List<@IntRange(max = 99_999) Integer> steps) {
        Simulation simulation = new Simulation();
        steps.forEach(simulation::step);
        simulation.checkInvariants();
    }

    private static final class Simulation {
        private static final int ENTRIES = 2;

        private final FakeLog log = new FakeLog();
        private final List<EntryFixture> entries = new ArrayList<>();
        private final Map<FakeSink, String> callers = new HashMap<>();
        private final Set<FakeCall> handledCalls = new HashSet<>();
        private final List<FakeCall> calls = new ArrayList<>();
        private final Map<String, Integer> executions = new HashMap<>();
        private final Set<String> executedRequests = new HashSet<>();
        private Duration elapsed = Duration.ZERO;
        private int startedEntries;

        private Simulation() {
            for (int i = 0; i < ENTRIES; i++) {
                entries.add(newEntry());
            }
        }

        private EntryFixture newEntry() {
            EntryFixture entry = EntryFixture.of("entry-" + startedEntries++, log);
            entry.time.advance(elapsed);
            return entry;
        }

        private void step(int encodedStep) {
            int index = encodedStep / 10 % ENTRIES;
            int variant = encodedStep / 100;
            EntryFixture entry = entries.get(index);
            switch (encodedStep % 10) {
                case 0, 1 -> {
                    String key = "2026-12-04T08:00:00Z.k" + variant % 2;
                    callers.put(entry.order(key), key);
                }
                case 2 -> entry.components.claims().commit();
                case 3 -> {
                    entry.components.claims().read(Duration.ZERO);
                    entry.settle();
                }
                case 4 -> entry.commitClaims();
                case 5 -> failLog(variant % 6);
                case 6 -> advanceTime(Duration.ofMillis(variant % 12_000), variant % 2 == 0);
                case 7 -> crash(index, variant);
                default -> reply(variant);
            }
            entries.forEach(other -> other.peers.calls.stream()
                    .filter(call -> !calls.contains(call))
                    .forEach(calls::add));
        }

        private void failLog(int fault) {
            log.unavailable = fault == 0;
            log.loseResponses = fault == 1;
            log.delayRecords = fault == 2;
            if (fault == 3) {
                log.acceptDelayedRecords();
            }
        }

        private void advanceTime(Duration step, boolean paused) {
            elapsed = elapsed.plus(step);
            entries.forEach(entry -> {
                entry.time.advance(step);
                if (!paused) {
                    entry.advance(Duration.ZERO);
                }
            });
        }

        private void crash(int index, int variant) {
            if (variant % 4 == 0) {
                entries.set(index, newEntry());
            }
        }

        /** Simulates a sidecar, which runs a dispatch at most once, at any time until the dispatch-by time. */
        private void reply(int variant) {
            if (calls.isEmpty()) {
                return;
            }
            FakeCall call = calls.get(variant / 8 % calls.size());
            switch (variant % 8) {
                case 0 -> call.failConnection(Verdict.MAY_HAVE_RUN);
                case 1 -> refuse(call, ErrorCode.BUSY);
                case 2 -> refuse(call, ErrorCode.UPSTREAM_FAILED);
                case 3, 4 -> execute(call, false);
                default -> execute(call, true);
            }
        }

        private void refuse(FakeCall call, ErrorCode code) {
            if (handledCalls.add(call)) {
                call.fail(Verdict.NOT_RUN, code);
            }
        }

        private void execute(FakeCall call, boolean sendAnswer) {
            if (!handledCalls.add(call)) {
                return;
            }
            long now = EntryFixture.START.plus(elapsed).toEpochMilli();
            if (now > call.dispatch.getClaim().getDispatchByEpochMs()) {
                call.fail(Verdict.NOT_RUN, ErrorCode.CLAIM_LAPSED);
                return;
            }
            executions.merge(call.dispatch.getClaim().getKeyDigest(), 1, Integer::sum);
            executedRequests.add(call.dispatch.getRequestId());
            if (sendAnswer) {
                call.answer("done");
            }
        }

        private void checkInvariants() {
            assertThat(executions.values()).allMatch(count -> count == 1);
            callers.keySet().forEach(caller -> {
                String request =
                        caller.headers.map(headers -> headers.requestId()).orElse("");
                if (caller.failure.isPresent() && caller.verdict() == Verdict.NOT_RUN) {
                    assertThat(executedRequests).doesNotContain(request);
                }
                if (caller.answer.isPresent()) {
                    assertThat(executedRequests.contains(request)
                                    || caller.headers.orElseThrow().replayed())
                            .isTrue();
                }
            });
        }
    }
}
