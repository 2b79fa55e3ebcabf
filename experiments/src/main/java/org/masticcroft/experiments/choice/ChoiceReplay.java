package org.masticcroft.experiments.choice;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticcroft.experiments.replay.EventLoop;
import org.masticcroft.experiments.replay.FakeEngine;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceRequest;
import org.masticcroft.kernel.breaker.CircuitBreaker;
import org.masticcroft.kernel.breaker.ConsecutiveFailureBreaker;
import org.masticcroft.kernel.routing.Choice;
import org.masticcroft.kernel.routing.RoutingRequest;
import org.masticcroft.kernel.routing.UpstreamChooser;
import org.masticcroft.kernel.routing.UpstreamLoad;

/**
 * Replays requests through several entries that choose engines concurrently. Each entry knows its own requests in
 * flight exactly and those of the other entries only from outdated load reports.
 */
final class ChoiceReplay {
    private static final long SAMPLE_INTERVAL_NANOS = 100_000_000;
    private static final int SAMPLES_PER_REPORT_AGE = 20;
    private static final long REPORT_AGE_MILLIS = 2_000;
    private static final int MAX_ATTEMPTS = 3;

    private final EventLoop loop = EventLoop.empty();
    private final Map<String, FakeEngine> engines = new LinkedHashMap<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Deque<Map<String, Integer>> reports = new ArrayDeque<>();
    private final List<Sample> samples = new ArrayList<>();
    private final UniformRandomProvider random;
    private UpstreamChooser chooser;

    ChoiceReplay(int entryCount, int engineCount, long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int index = 0; index < engineCount; index++) {
            String name = "engine-" + index;
            engines.put(name, FakeEngine.of(name, Deployment.SLOTS_PER_ENGINE, loop));
        }
        for (int index = 0; index < entryCount; index++) {
            entries.add(new Entry());
        }
    }

    EventLoop loop() {
        return loop;
    }

    Map<String, FakeEngine> engines() {
        return engines;
    }

    List<Sample> samples() {
        return samples;
    }

    double hitRatio() {
        double cacheLookups =
                engines.values().stream().mapToLong(FakeEngine::cacheLookups).sum();
        return engines.values().stream().mapToLong(FakeEngine::cacheHits).sum() / cacheLookups;
    }

    /** Replays requests, each through a random entry, as the platform's load balancer would distribute them. */
    void replay(List<TraceRequest> requests, UpstreamChooser newChooser, long endMillis) {
        chooser = newChooser;
        loop.scheduleAt(0, this::takeSample);
        for (TraceRequest request : requests) {
            loop.scheduleAt(
                    request.atMillis() * 1_000_000,
                    () -> entries.get(random.nextInt(entries.size())).send(request, new HashSet<>()));
        }
        loop.runUntil(endMillis * 1_000_000);
    }

    private void takeSample() {
        Map<String, Integer> inFlight = new HashMap<>();
        engines.values().forEach(engine -> inFlight.put(engine.name(), engine.inFlight()));
        reports.addLast(inFlight);
        if (reports.size() > SAMPLES_PER_REPORT_AGE) {
            reports.removeFirst();
        }
        samples.add(new Sample(loop.nowNanos(), inFlight));
        loop.scheduleAfter(SAMPLE_INTERVAL_NANOS, this::takeSample);
    }

    /** Actual number of requests in flight on each engine at one time. */
    record Sample(long atNanos, Map<String, Integer> inFlight) {}

    private final class Entry {
        private final Map<String, Integer> ownInFlight = new HashMap<>();
        private final Map<String, CircuitBreaker> breakers = new HashMap<>();

        private void send(TraceRequest request, Set<String> excluded) {
            Optional<Choice> choice = chooser.choose(
                    new RoutingRequest(request.id(), request.prefix(), request.estimatedTokens(), excluded),
                    candidates(),
                    random);
            if (choice.isEmpty() || excluded.size() >= MAX_ATTEMPTS) {
                return;
            }
            FakeEngine engine = engines.get(choice.get().upstream());
            CircuitBreaker breaker = breakerOf(engine.name());
            breaker.tryAcquire(loop.nowNanos());
            if (engine.isDead()) {
                breaker.onFailure(loop.nowNanos());
                excluded.add(engine.name());
                send(request, excluded);
                return;
            }
            ownInFlight.merge(engine.name(), 1, Integer::sum);
            engine.start(request, 0, new InFlightListener(this, engine.name()));
        }

        private List<UpstreamLoad> candidates() {
            Map<String, Integer> report = reports.getFirst();
            return engines.values().stream()
                    .filter(engine -> breakerOf(engine.name()).isCallPermitted(loop.nowNanos()))
                    .map(engine -> new UpstreamLoad(
                            engine.name(),
                            engine.slots(),
                            ownInFlight.getOrDefault(engine.name(), 0),
                            report.get(engine.name()),
                            REPORT_AGE_MILLIS,
                            true))
                    .toList();
        }

        private CircuitBreaker breakerOf(String engine) {
            return breakers.computeIfAbsent(engine, name -> ConsecutiveFailureBreaker.of());
        }
    }

    private record InFlightListener(Entry entry, String engine) implements FakeEngine.Listener {
        @Override
        public void onFirstToken() {
            // Only the number of requests in flight is tracked.
        }

        @Override
        public void onEnd(int tokens) {
            entry.ownInFlight.merge(engine, -1, Integer::sum);
        }

        @Override
        public void onFailure() {
            entry.ownInFlight.merge(engine, -1, Integer::sum);
        }
    }
}
