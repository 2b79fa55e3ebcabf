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
import org.masticcroft.experiments.replay.EngineFake;
import org.masticcroft.experiments.replay.EventLoop;
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

    /** Delay between entry and engine, each way. */
    static final long LINK_NANOS = 1_000_000;

    private final EventLoop loop = EventLoop.empty();
    private final AdmissionQueue queue;
    private final PreemptionPolicy preemption;
    private final UpstreamChooser chooser;
    private final SortedMap<String, RankConfig> ranks;
    private final UniformRandomProvider random;
    private final Map<String, EngineFake> engines = new LinkedHashMap<>();
    private final Map<String, Served> served = new LinkedHashMap<>();
    private final Map<String, Running> running = new LinkedHashMap<>();
    private final Map<String, Double> weights = new HashMap<>();
    private final BusyMeter busy;

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
            engines.put(name, EngineFake.of(name, Deployment.SLOTS, loop));
        }
        this.busy = new BusyMeter(loop, engines.values());
    }

    static ServingReplay of(Deployment deployment, Policies policies, long seed) {
        return new ServingReplay(deployment, policies, seed);
    }

    EventLoop loop() {
        return loop;
    }

    /** Sets the weight of a customer; the others have weight 1. */
    void weigh(String customer, double weight) {
        weights.put(customer, weight);
    }

    Collection<EngineFake> engines() {
        return engines.values();
    }

    Collection<Served> results() {
        return served.values();
    }

    /** Returns the busy part of the capacity while requests waited. */
    double busyWhileWaiting() {
        return busy.partWhileWaiting();
    }

    /** Replays requests and runs on for a while, so that those in progress can end. */
    void replay(List<TraceRequest> requests, long endMillis) {
        requests.forEach(request -> loop.at(request.atMillis() * 1_000_000, () -> arrive(request)));
        loop.runUntil(endMillis * 1_000_000);
    }

    void arrive(TraceRequest request) {
        Served result = new Served(request, loop.now());
        served.put(request.id(), result);
        Ticket ticket = new Ticket(
                request.id(),
                request.customer(),
                weights.getOrDefault(request.customer(), 1.0),
                request.rank(),
                request.estimatedTokens(),
                loop.now());
        Admission admission = queue.offer(ticket, loop.now());
        if (admission instanceof Admission.Refused refused) {
            result.onRefused(refused.code(), loop.now());
            return;
        }
        for (Ticket displaced : ((Admission.Queued) admission).displaced()) {
            served.get(displaced.requestId()).onRefused(ErrorCode.QUEUE_FULL, loop.now());
        }
        pump();
        if (!running.containsKey(request.id())) {
            preemptFor(ticket);
        }
    }

    /** Starts waiting requests while slots are free. */
    void pump() {
        while (engines.values().stream().anyMatch(EngineFake::hasFreeSlot)) {
            Optional<Ticket> next = queue.poll(loop.now());
            if (next.isEmpty()) {
                break;
            }
            start(next.get());
        }
        busy.update(queue.waiting());
    }

    private void start(Ticket ticket) {
        TraceRequest request = served.get(ticket.requestId()).request();
        EngineFake engine = engines.get(choose(request, EngineFake::hasFreeSlot));
        running.put(request.id(), new Running(ticket, engine, false));
        engine.start(request, served.get(request.id()).delivered(), new Listener(ticket));
    }

    private String choose(TraceRequest request, Predicate<EngineFake> usable) {
        List<UpstreamLoad> loads = engines.values().stream()
                .filter(usable)
                .map(engine ->
                        new UpstreamLoad(engine.name(), engine.slots(), engine.inFlight(), engine.inFlight(), 0, true))
                .toList();
        RoutingRequest routing =
                new RoutingRequest(request.id(), request.prefix(), request.estimatedTokens(), Set.of());
        return chooser.choose(routing, loads, random).orElseThrow().upstream();
    }

    /** Preempts on the engine that the chooser prefers, where the prefix may be cached, and elsewhere if need be. */
    private void preemptFor(Ticket waiting) {
        String preferred = choose(served.get(waiting.requestId()).request(), engine -> !engine.isDead());
        Optional<Ticket> onPreferred = preemption.victim(waiting, candidates(preferred::equals), ranks);
        onPreferred
                .or(() -> preemption.victim(waiting, candidates(name -> true), ranks))
                .ifPresent(victim -> {
                    Running run = running.get(victim.requestId());
                    running.put(victim.requestId(), new Running(run.ticket(), run.engine(), true));
                    loop.after(LINK_NANOS, () -> interrupt(victim, run.engine(), waiting));
                });
    }

    private List<Ticket> candidates(Predicate<String> engines) {
        return running.values().stream()
                .filter(run -> !run.leaving() && engines.test(run.engine().name()))
                .map(Running::ticket)
                .toList();
    }

    /** Frees a slot and gives it to the request that asked for it, if that one still waits. */
    private void interrupt(Ticket victim, EngineFake engine, Ticket waiting) {
        if (engine.isRunning(victim.requestId())) {
            resumeLater(victim, engine.cancel(victim.requestId()));
            queue.pollRequest(waiting.requestId(), loop.now()).ifPresent(this::start);
        }
        pump();
    }

    private void resumeLater(Ticket ticket, int produced) {
        running.remove(ticket.requestId());
        Served result = served.get(ticket.requestId());
        result.onInterrupted(produced, CHUNK_TOKENS);
        charge(ticket, produced);
        int remaining = Math.max(1, result.request().maxTokens() - result.delivered());
        queue.requeue(
                new Ticket(
                        ticket.requestId(),
                        ticket.customer(),
                        ticket.weight(),
                        ticket.rank(),
                        remaining,
                        ticket.arrivalNanos()),
                loop.now());
    }

    /** Charges what an attempt used; the prompt counts once, because a resumed request finds it cached. */
    private void charge(Ticket ticket, int tokens) {
        queue.finish(ticket, tokens + served.get(ticket.requestId()).takePromptTokens(), loop.now());
    }

    /** Names of the decision implementations of a replay. */
    record Policies(String admission, String preemption, String chooser) {
        static Policies inUse() {
            return new Policies("ranked-fair", "share-preserving", "prefix-affinity");
        }

        static Policies baseline() {
            return new Policies("fifo", "never", "least-in-flight");
        }
    }

    private record Running(Ticket ticket, EngineFake engine, boolean leaving) {}

    private final class Listener implements EngineFake.Listener {
        private final Ticket ticket;

        private Listener(Ticket ticket) {
            this.ticket = ticket;
        }

        @Override
        public void onFirstToken() {
            served.get(ticket.requestId()).onFirstToken(loop.now() + LINK_NANOS);
        }

        @Override
        public void onEnd(int tokens) {
            running.remove(ticket.requestId());
            served.get(ticket.requestId()).onEnd(tokens, loop.now());
            charge(ticket, tokens);
            pump();
        }

        @Override
        public void onFailure() {
            resumeLater(ticket, 0);
        }
    }
}
