package org.masticcroft.experiments.replay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceRequest;

/**
 * Fake of an engine: a number of slots, a fixed time per token, and a bounded cache of prompt prefixes.
 */
public final class EngineFake {
    private static final int CACHED_PREFIXES = 48;
    private static final double NANOS_PER_MILLI = 1e6;

    private final String name;
    private final int slots;
    private final EventLoop loop;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final LinkedHashMap<Integer, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);
    private double slowness = 1;
    private boolean dead;
    private long hits;
    private long lookups;

    private EngineFake(String name, int slots, EventLoop loop) {
        this.name = name;
        this.slots = slots;
        this.loop = loop;
    }

    /** Creates an idle engine with an empty cache. */
    public static EngineFake of(String name, int slots, EventLoop loop) {
        return new EngineFake(name, slots, loop);
    }

    public String name() {
        return name;
    }

    public int slots() {
        return slots;
    }

    /** Returns the number of running requests. */
    public int inFlight() {
        return running.size();
    }

    public boolean isDead() {
        return dead;
    }

    public boolean hasFreeSlot() {
        return !dead && running.size() < slots;
    }

    public boolean isCached(int prefix) {
        return prefixes.containsKey(prefix);
    }

    public long hits() {
        return hits;
    }

    public long lookups() {
        return lookups;
    }

    /** Sets the factor by which all times are longer than usual, for running requests too. */
    public void slowDown(double factor) {
        double ratio = factor / slowness;
        slowness = factor;
        for (Map.Entry<String, Run> entry : List.copyOf(running.entrySet())) {
            Run run = entry.getValue();
            int produced = run.producedBy(loop.now());
            boolean begun = produced > 0;
            double tokenNanos = run.tokenNanos() * ratio;
            double next = begun ? loop.now() + tokenNanos : loop.now() + (run.firstNanos() - loop.now()) * ratio;
            schedule(
                    entry.getKey(),
                    new Run(
                            run.listener(),
                            next,
                            tokenNanos,
                            run.tokens() - produced,
                            run.before() + produced,
                            run.begun() || begun));
        }
    }

    /**
     * Starts a request. On a busy engine it joins the batch at the next step. It runs beyond the slots too, as an
     * engine that queues does, at proportionally lower speed.
     *
     * @param request the request
     * @param done tokens that an earlier attempt has already delivered
     * @param listener is told of the first token and of the end
     */
    public void start(TraceRequest request, int done, Listener listener) {
        double crowding = Math.max(1, (running.size() + 1.0) / slots);
        double tokenNanos = Deployment.TOKEN_MILLIS * NANOS_PER_MILLI * slowness * crowding;
        lookups++;
        boolean cached = prefixes.put(request.prefix(), true) != null;
        hits += cached ? 1 : 0;
        if (prefixes.size() > CACHED_PREFIXES) {
            prefixes.remove(prefixes.keySet().iterator().next());
        }
        int prefill = done + (cached ? request.promptTokens() / 4 : request.promptTokens());
        double joins = running.isEmpty() ? loop.now() : Math.ceil(loop.now() / tokenNanos) * tokenNanos;
        double first = joins + prefill * Deployment.PREFILL_MILLIS * NANOS_PER_MILLI * slowness + tokenNanos;
        int tokens = request.outputTokens() - done;
        schedule(request.id(), new Run(listener, first, tokenNanos, tokens, 0, false));
    }

    private void schedule(String id, Run run) {
        running.put(id, run);
        loop.at((long) run.firstNanos(), () -> {
            if (running.get(id) == run && !run.begun()) {
                run.listener().onFirstToken();
            }
        });
        loop.at((long) (run.firstNanos() + (run.tokens() - 1) * run.tokenNanos()), () -> {
            if (running.remove(id, run)) {
                run.listener().onEnd(run.before() + run.tokens());
            }
        });
    }

    /** Returns whether a request is running. */
    public boolean isRunning(String requestId) {
        return running.containsKey(requestId);
    }

    /** Stops a running request and returns the tokens that it has produced. */
    public int cancel(String requestId) {
        Run run = running.remove(requestId);
        return run.before() + run.producedBy(loop.now());
    }

    /** Ends the engine; all running requests fail and the cache is lost. */
    public void die() {
        dead = true;
        failAll();
    }

    /** Restarts the engine with an empty cache; all running requests fail. */
    public void restart() {
        dead = false;
        failAll();
    }

    private void failAll() {
        List<Run> failed = new ArrayList<>(running.values());
        running.clear();
        prefixes.clear();
        failed.forEach(run -> run.listener().onFailure());
    }

    /** Is told what happens to a request. */
    public interface Listener {
        /** The first token of this attempt was produced. */
        void onFirstToken();

        /**
         * The request is complete.
         *
         * @param tokens tokens produced by this attempt
         */
        void onEnd(int tokens);

        /** The engine died. */
        void onFailure();
    }

    private record Run(Listener listener, double firstNanos, double tokenNanos, int tokens, int before, boolean begun) {
        private int producedBy(long nowNanos) {
            double steps = Math.floor((nowNanos - firstNanos) / tokenNanos + 1e-6);
            return (int) Math.max(0, Math.min(tokens, steps + 1));
        }
    }
}
