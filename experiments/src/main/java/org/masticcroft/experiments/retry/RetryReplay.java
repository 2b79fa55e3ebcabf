package org.masticcroft.experiments.retry;

import java.time.Duration;
import java.util.ArrayList;
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
import org.masticcroft.experiments.trace.TraceRequest;
import org.masticcroft.kernel.breaker.CircuitBreaker;
import org.masticcroft.kernel.breaker.ConsecutiveFailureBreaker;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.retry.AttemptFailure;
import org.masticcroft.kernel.retry.RetryBudget;
import org.masticcroft.kernel.retry.RetryPolicy;
import org.masticcroft.kernel.retry.SlidingRetryBudget;
import org.masticcroft.kernel.routing.Choice;
import org.masticcroft.kernel.routing.RoutingRequest;
import org.masticcroft.kernel.routing.UpstreamChooser;
import org.masticcroft.kernel.routing.UpstreamLoad;
import org.masticcroft.kernel.verdict.Verdict;

/** Sends requests through a retry policy to engines that fail for a while. */
final class RetryReplay {
    private static final Duration DEADLINE = Duration.ofSeconds(30);
    private static final long FIRST_TOKEN_TIMEOUT_NANOS = 3_000_000_000L;

    private final EventLoop loop = EventLoop.empty();
    private final Map<String, RetriedEngine> engines = new LinkedHashMap<>();
    private final Map<String, CircuitBreaker> breakers = new HashMap<>();
    private final RetryBudget budget = SlidingRetryBudget.of();
    private final RetryPolicy policy;
    private final UpstreamChooser chooser;
    private final boolean withBreakers;
    private final UniformRandomProvider random;
    private final List<Long> firstAttempts = new ArrayList<>();
    private final List<Long> retries = new ArrayList<>();
    private final Map<Long, int[]> outcomes = new HashMap<>();

    RetryReplay(RetryPolicy policy, UpstreamChooser chooser, boolean withBreakers, int engineCount, long seed) {
        this.policy = policy;
        this.chooser = chooser;
        this.withBreakers = withBreakers;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int number = 0; number < engineCount; number++) {
            String name = "engine-" + number;
            engines.put(name, new RetriedEngine(name, loop));
            breakers.put(name, ConsecutiveFailureBreaker.of());
        }
    }

    EventLoop loop() {
        return loop;
    }

    List<RetriedEngine> engines() {
        return List.copyOf(engines.values());
    }

    List<Long> firstAttempts() {
        return firstAttempts;
    }

    List<Long> retries() {
        return retries;
    }

    /** Returns the part of the requests that arrived in a second and were answered in the end. */
    double successOf(long second) {
        int[] counts = outcomes.getOrDefault(second, new int[] {0, 0});
        return counts[0] == 0 ? 1 : (double) counts[1] / counts[0];
    }

    void replay(List<TraceRequest> requests, long endMillis) {
        for (TraceRequest request : requests) {
            loop.at(request.atMillis() * 1_000_000, () -> {
                firstAttempts.add(loop.now());
                budget.recordFirstAttempt(loop.now());
                outcomes.computeIfAbsent(request.atMillis() / 1_000, second -> new int[2])[0]++;
                attempt(request, 1, new HashSet<>());
            });
        }
        loop.runUntil(endMillis * 1_000_000);
    }

    private void attempt(TraceRequest request, int number, Set<String> excluded) {
        List<UpstreamLoad> candidates = engines.values().stream()
                .filter(engine -> !withBreakers || breakers.get(engine.name()).isCallPermitted(loop.now()))
                .map(engine ->
                        new UpstreamLoad(engine.name(), engine.slots(), engine.inFlight(), engine.inFlight(), 0, true))
                .toList();
        Optional<Choice> choice = chooser.choose(
                new RoutingRequest(request.id(), request.prefix(), request.estimatedTokens(), excluded),
                candidates,
                random);
        if (choice.isEmpty()) {
            fail(request, number, excluded, Verdict.NOT_RUN, ErrorCode.NO_UPSTREAM);
            return;
        }
        RetriedEngine engine = engines.get(choice.get().upstream());
        CircuitBreaker breaker = breakers.get(engine.name());
        breaker.tryAcquire(loop.now());
        engine.start(request, FIRST_TOKEN_TIMEOUT_NANOS, failure -> {
            if (failure.isEmpty()) {
                breaker.onSuccess(loop.now());
                outcomes.get(request.atMillis() / 1_000)[1]++;
                return;
            }
            breaker.onFailure(loop.now());
            Set<String> tried = new HashSet<>(excluded);
            tried.add(engine.name());
            Verdict verdict = failure.get() == ErrorCode.BUSY ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
            fail(request, number, tried.size() < engines.size() ? tried : Set.of(), verdict, failure.get());
        });
    }

    private void fail(TraceRequest request, int number, Set<String> excluded, Verdict verdict, ErrorCode code) {
        Duration remaining = DEADLINE.minusNanos(loop.now() - request.atMillis() * 1_000_000);
        AttemptFailure failure = new AttemptFailure(number, verdict, code, true, false, false, remaining);
        policy.nextBackOff(failure, budget, loop.now(), random)
                .ifPresent(backOff -> loop.after(backOff.toNanos(), () -> {
                    retries.add(loop.now());
                    attempt(request, number + 1, excluded);
                }));
    }
}
