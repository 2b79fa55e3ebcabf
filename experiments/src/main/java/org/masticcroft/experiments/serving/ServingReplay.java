package org.masticcroft.experiments.serving;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticcroft.experiments.replay.EventLoop;
import org.masticcroft.experiments.replay.FakeEngine;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceRequest;
import org.masticcroft.kernel.admission.Admission;
import org.masticcroft.kernel.admission.AdmissionPlugin;
import org.masticcroft.kernel.admission.AdmissionQueue;
import org.masticcroft.kernel.admission.PreemptionPolicy;
import org.masticcroft.kernel.admission.Ticket;
import org.masticcroft.kernel.config.RankConfig;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.plugin.PluginRegistry;
import org.masticcroft.kernel.routing.RoutingRequest;
import org.masticcroft.kernel.routing.UpstreamChooser;
import org.masticcroft.kernel.routing.UpstreamLoad;

/** Replays requests through the admission queue, the preemption policy and the chooser of one entry. */
final class ServingReplay {
    /** Tokens per chunk of a streamed answer. */
    static final int CHUNK_TOKENS = 8;

    /** One-way network delay between entry and engine. */
    static final long LINK_DELAY_NANOS = 1_000_000;

    private final EventLoop loop = EventLoop.empty();
    private final AdmissionQueue queue;
    private final PreemptionPolicy preemption;
    private final UpstreamChooser chooser;
    private final SortedMap<String, RankConfig> ranks;
    private final UniformRandomProvider random;
    private final Map<String, FakeEngine> engines = new LinkedHashMap<>();
    private final Map<String, RequestResult> results = new LinkedHashMap<>();
    private final Map<String, RunningRequest> running = new LinkedHashMap<>();
    private final Map<String, Double> weights = new HashMap<>();
    private final UtilizationMeter utilization;

    private ServingReplay(Deployment deployment, Policies policies, long seed) {
        this.ranks = deployment.rankConfigs();
        this.queue = PluginRegistry.of(AdmissionPlugin.class)
                .require(policies.admission())
                .create(ranks);
        this.preemption = PluginRegistry.of(PreemptionPolicy.class).require(policies.preemption());
        this.chooser = PluginRegistry.of(UpstreamChooser.class).require(policies.chooser());
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int number = 0; number < deployment.engines(); number++) {
            String name = "engine-" + number;
            engines.put(name, FakeEngine.of(name, Deployment.SLOTS_PER_ENGINE, loop));
        }
        this.utilization = new UtilizationMeter(loop, engines.values());
    }

    static ServingReplay of(Deployment deployment, Policies policies, long seed) {
        return new ServingReplay(deployment, policies, seed);
    }

    EventLoop loop() {
        return loop;
    }

    /** Sets the fairness weight of a customer; the default is 1. */
    void setWeight(String customer, double weight) {
        weights.put(customer, weight);
    }

    Collection<FakeEngine> engines() {
        return engines.values();
    }

    Collection<RequestResult> results() {
        return results.values();
    }

    /** Returns the fraction of the slots that was busy while requests waited. */
    double utilizationWhileWaiting() {
        return utilization.whileWaiting();
    }

    /** Replays requests until a time after the last arrival, so that those in progress can complete. */
    void replay(List<TraceRequest> requests, long endMillis) {
        requests.forEach(request -> loop.scheduleAt(request.atMillis() * 1_000_000, () -> arrive(request)));
        loop.runUntil(endMillis * 1_000_000);
    }

    void arrive(TraceRequest request) {
        RequestResult result = new RequestResult(request, loop.nowNanos());
        results.put(request.id(), result);
        Ticket ticket = new Ticket(
                request.id(),
                request.customer(),
                weights.getOrDefault(request.customer(), 1.0),
                request.rank(),
                request.estimatedTokens(),
                loop.nowNanos());
        Admission admission = queue.offer(ticket, loop.nowNanos());
        if (admission instanceof Admission.Refused refused) {
            result.onRefused(refused.code(), loop.nowNanos());
            return;
        }
        for (Ticket displaced : ((Admission.Queued) admission).displaced()) {
            results.get(displaced.requestId()).onRefused(ErrorCode.QUEUE_FULL, loop.nowNanos());
        }
        dispatchWaiting();
        if (!running.containsKey(request.id())) {
            preemptForRequest(ticket);
        }
    }

    /** Starts waiting requests while slots are free. */
    void dispatchWaiting() {
        while (engines.values().stream().anyMatch(FakeEngine::hasFreeSlot)) {
            Optional<Ticket> next = queue.poll(loop.nowNanos());
            if (next.isEmpty()) {
                break;
            }
            start(next.get());
        }
        utilization.update(queue.waiting());
    }

    private void start(Ticket ticket) {
        TraceRequest request = results.get(ticket.requestId()).request();
        FakeEngine engine = engines.get(choose(request, FakeEngine::hasFreeSlot));
        running.put(request.id(), new RunningRequest(ticket, engine, false));
        engine.start(request, results.get(request.id()).deliveredTokens(), new Listener(ticket));
    }

    private String choose(TraceRequest request, Predicate<FakeEngine> isEligible) {
        List<UpstreamLoad> loads = engines.values().stream()
                .filter(isEligible)
                .map(engine ->
                        new UpstreamLoad(engine.name(), engine.slots(), engine.inFlight(), engine.inFlight(), 0, true))
                .toList();
        RoutingRequest routing =
                new RoutingRequest(request.id(), request.prefix(), request.estimatedTokens(), Set.of());
        return chooser.choose(routing, loads, random).orElseThrow().upstream();
    }

    /** Preempts on the engine that the chooser prefers, which may have cached the prefix, or else on any other. */
    private void preemptForRequest(Ticket waiting) {
        String preferred = choose(results.get(waiting.requestId()).request(), engine -> !engine.isDead());
        Optional<Ticket> onPreferred = preemption.victim(waiting, candidates(preferred::equals), ranks);
        onPreferred
                .or(() -> preemption.victim(waiting, candidates(name -> true), ranks))
                .ifPresent(victim -> {
                    RunningRequest runningRequest = running.get(victim.requestId());
                    running.put(
                            victim.requestId(),
                            new RunningRequest(runningRequest.ticket(), runningRequest.engine(), true));
                    loop.scheduleAfter(LINK_DELAY_NANOS, () -> interrupt(victim, runningRequest.engine(), waiting));
                });
    }

    private List<Ticket> candidates(Predicate<String> isOnEngine) {
        return running.values().stream()
                .filter(runningRequest -> !runningRequest.preempting()
                        && isOnEngine.test(runningRequest.engine().name()))
                .map(RunningRequest::ticket)
                .toList();
    }

    /** Cancels the victim and gives its slot to the waiting request, if that is still queued. */
    private void interrupt(Ticket victim, FakeEngine engine, Ticket waiting) {
        if (engine.isRunning(victim.requestId())) {
            requeueInterrupted(victim, engine.cancel(victim.requestId()));
            queue.pollRequest(waiting.requestId(), loop.nowNanos()).ifPresent(this::start);
        }
        dispatchWaiting();
    }

    private void requeueInterrupted(Ticket ticket, int producedTokens) {
        running.remove(ticket.requestId());
        RequestResult result = results.get(ticket.requestId());
        result.onInterrupted(producedTokens, CHUNK_TOKENS);
        charge(ticket, producedTokens);
        int remaining = Math.max(1, result.request().maxTokens() - result.deliveredTokens());
        queue.requeue(
                new Ticket(
                        ticket.requestId(),
                        ticket.customer(),
                        ticket.weight(),
                        ticket.rank(),
                        remaining,
                        ticket.arrivalNanos()),
                loop.nowNanos());
    }

    /** Charges the tokens of an attempt; the prompt is charged once, because a resumed request finds it cached. */
    private void charge(Ticket ticket, int tokens) {
        queue.finish(ticket, tokens + results.get(ticket.requestId()).takeUnchargedPromptTokens(), loop.nowNanos());
    }

    /** Names of the policy implementations of a replay. */
    record Policies(String admission, String preemption, String chooser) {
        static Policies current() {
            return new Policies("ranked-fair", "share-preserving", "prefix-affinity");
        }

        static Policies baseline() {
            return new Policies("fifo", "never", "least-in-flight");
        }
    }

    private record RunningRequest(Ticket ticket, FakeEngine engine, boolean preempting) {}

    private final class Listener implements FakeEngine.Listener {
        private final Ticket ticket;

        private Listener(Ticket ticket) {
            this.ticket = ticket;
        }

        @Override
        public void onFirstToken() {
            results.get(ticket.requestId()).onFirstToken(loop.nowNanos() + LINK_DELAY_NANOS);
        }

        @Override
        public void onEnd(int tokens) {
            running.remove(ticket.requestId());
            results.get(ticket.requestId()).onEnd(tokens, loop.nowNanos());
            charge(ticket, tokens);
            dispatchWaiting();
        }

        @Override
        public void onFailure() {
            requeueInterrupted(ticket, 0);
        }
    }
}
