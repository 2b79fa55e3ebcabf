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
import org.masticcroft.experiments.replay.EngineFake;
import org.masticcroft.experiments.replay.EventLoop;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceRequest;
import org.masticcroft.kernel.breaker.CircuitBreaker;
import org.masticcroft.kernel.breaker.ConsecutiveFailureBreaker;
import org.masticcroft.kernel.routing.Choice;
import org.masticcroft.kernel.routing.RoutingRequest;
import org.masticcroft.kernel.routing.UpstreamChooser;
import org.masticcroft.kernel.routing.UpstreamLoad;

/** Several entries choose engines at once, with exact knowledge of their own requests and old reports of the rest. */
final class ChoiceReplay {
    private static final long SAMPLE_NANOS = 100_000_000;
    private static final int REPORT_AGE_SAMPLES = 20;
    private static final long REPORT_AGE_MILLIS = 2_000;
    private static final int MAX_ATTEMPTS = 3;

    private final EventLoop loop = EventLoop.empty();
    private final Map<String, EngineFake> engines = new LinkedHashMap<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Deque<Map<String, Integer>> reports = new ArrayDeque<>();
    private final List<Sample> samples = new ArrayList<>();
    private final UniformRandomProvider random;
    private UpstreamChooser chooser;

    ChoiceReplay(int entryCount, int engineCount, long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int number = 0; number < engineCount; number++) {
            String name = "engine-" + number;
            engines.put(name, EngineFake.of(name, Deployment.SLOTS, loop));
        }
        for (int number = 0; number < entryCount; number++) {
            entries.add(new Entry());
        }
    }

    EventLoop loop() {
        return loop;
    }

    Map<String, EngineFake> engines() {
        return engines;
    }

    List<Sample> samples() {
        return samples;
    }

    double hitRatio() {
        double lookups =
                engines.values().stream().mapToLong(EngineFake::lookups).sum();
        return engines.values().stream().mapToLong(EngineFake::hits).sum() / lookups;
    }

    /** Replays requests; the platform's load balancer deals them out to the entries. */
    void replay(List<TraceRequest> requests, UpstreamChooser withChooser, long endMillis) {
        chooser = withChooser;
        loop.at(0, this::sample);
        for (TraceRequest request : requests) {
            loop.at(
                    request.atMillis() * 1_000_000,
                    () -> entries.get(random.nextInt(entries.size())).send(request, new HashSet<>()));
        }
        loop.runUntil(endMillis * 1_000_000);
    }

    private void sample() {
        Map<String, Integer> inFlight = new HashMap<>();
        engines.values().forEach(engine -> inFlight.put(engine.name(), engine.inFlight()));
        reports.addLast(inFlight);
        if (reports.size() > REPORT_AGE_SAMPLES) {
            reports.removeFirst();
        }
        samples.add(new Sample(loop.now(), inFlight));
        loop.after(SAMPLE_NANOS, this::sample);
    }

    /** True in-flight counts by engine at one time. */
    record Sample(long atNanos, Map<String, Integer> inFlight) {}

    private final class Entry {
        private final Map<String, Integer> own = new HashMap<>();
        private final Map<String, CircuitBreaker> breakers = new HashMap<>();

        private void send(TraceRequest request, Set<String> excluded) {
            Optional<Choice> choice = chooser.choose(
                    new RoutingRequest(request.id(), request.prefix(), request.estimatedTokens(), excluded),
                    candidates(),
                    random);
            if (choice.isEmpty() || excluded.size() >= MAX_ATTEMPTS) {
                return;
            }
            EngineFake engine = engines.get(choice.get().upstream());
            CircuitBreaker breaker = breakerOf(engine.name());
            breaker.tryAcquire(loop.now());
            if (engine.isDead()) {
                breaker.onFailure(loop.now());
                excluded.add(engine.name());
                send(request, excluded);
                return;
            }
            own.merge(engine.name(), 1, Integer::sum);
            engine.start(request, 0, new Listener(this, engine.name()));
        }

        private List<UpstreamLoad> candidates() {
            Map<String, Integer> report = reports.getFirst();
            return engines.values().stream()
                    .filter(engine -> breakerOf(engine.name()).isCallPermitted(loop.now()))
                    .map(engine -> new UpstreamLoad(
                            engine.name(),
                            engine.slots(),
                            own.getOrDefault(engine.name(), 0),
                            report.get(engine.name()),
                            REPORT_AGE_MILLIS,
                            true))
                    .toList();
        }

        private CircuitBreaker breakerOf(String engine) {
            return breakers.computeIfAbsent(engine, name -> ConsecutiveFailureBreaker.of());
        }
    }

    private record Listener(Entry entry, String engine) implements EngineFake.Listener {
        @Override
        public void onFirstToken() {
            // Only the number in flight matters here.
        }

        @Override
        public void onEnd(int tokens) {
            entry.own.merge(engine, -1, Integer::sum);
        }

        @Override
        public void onFailure() {
            entry.own.merge(engine, -1, Integer::sum);
        }
    }
}
