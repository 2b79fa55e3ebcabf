package org.masticcroft.experiments.replay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceRequest;

/** Fake engine with a number of slots, a fixed time per token and an LRU cache of prompt prefixes. */
public final class FakeEngine {
    private static final int MAX_CACHED_PREFIXES = 48;
    private static final double NANOS_PER_MILLI = 1e6;

    private final String name;
    private final int slots;
    private final EventLoop loop;
    private final Map<String, RunningRequest> running = new LinkedHashMap<>();
    private final LinkedHashMap<Integer, Boolean> cachedPrefixes = new LinkedHashMap<>(16, 0.75f, true);
    private double slowdown = 1;
    private boolean dead;
    private long cacheHits;
    private long cacheLookups;

    private FakeEngine(String name, int slots, EventLoop loop) {
        this.name = name;
        this.slots = slots;
        this.loop = loop;
    }

    /** Creates an idle engine with an empty cache. */
    public static FakeEngine of(String name, int slots, EventLoop loop) {
        return new FakeEngine(name, slots, loop);
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
        return cachedPrefixes.containsKey(prefix);
    }

    public long cacheHits() {
        return cacheHits;
    }

    public long cacheLookups() {
        return cacheLookups;
    }

    /** Sets the factor by which all times exceed the usual ones; it applies to running requests too. */
    public void setSlowdown(double factor) {
        double ratio = factor / slowdown;
        slowdown = factor;
        for (Map.Entry<String, RunningRequest> entry : List.copyOf(running.entrySet())) {
            RunningRequest run = entry.getValue();
            int produced = run.tokensProducedBy(loop.nowNanos());
            boolean firstTokenReported = produced > 0;
            double tokenNanos = run.tokenNanos() * ratio;
            double nextTokenNanos = firstTokenReported
                    ? loop.nowNanos() + tokenNanos
                    : loop.nowNanos() + (run.firstTokenNanos() - loop.nowNanos()) * ratio;
            schedule(
                    entry.getKey(),
                    new RunningRequest(
                            run.listener(),
                            nextTokenNanos,
                            tokenNanos,
                            run.tokens() - produced,
                            run.previousTokens() + produced,
                            run.firstTokenReported() || firstTokenReported));
        }
    }

    /**
     * Starts a request. On a busy engine it joins the batch at the next decoding step. A request beyond the slots is
     * started too, at proportionally lower speed, which models an engine that queues.
     *
     * @param request the request
     * @param deliveredTokens tokens that earlier attempts have delivered
     * @param listener notified of the first token, completion and failure
     */
    public void start(TraceRequest request, int deliveredTokens, Listener listener) {
        double oversubscription = Math.max(1, (running.size() + 1.0) / slots);
        double tokenNanos = Deployment.TOKEN_MILLIS * NANOS_PER_MILLI * slowdown * oversubscription;
        cacheLookups++;
        boolean cached = cachedPrefixes.put(request.prefix(), true) != null;
        cacheHits += cached ? 1 : 0;
        if (cachedPrefixes.size() > MAX_CACHED_PREFIXES) {
            cachedPrefixes.remove(cachedPrefixes.keySet().iterator().next());
        }
        int prefillTokens = deliveredTokens + (cached ? request.promptTokens() / 4 : request.promptTokens());
        double joinNanos = running.isEmpty() ? loop.nowNanos() : Math.ceil(loop.nowNanos() / tokenNanos) * tokenNanos;
        double firstTokenNanos = joinNanos
                + prefillTokens * Deployment.PREFILL_MILLIS_PER_TOKEN * NANOS_PER_MILLI * slowdown
                + tokenNanos;
        int tokens = request.outputTokens() - deliveredTokens;
        schedule(request.id(), new RunningRequest(listener, firstTokenNanos, tokenNanos, tokens, 0, false));
    }

    private void schedule(String id, RunningRequest run) {
        running.put(id, run);
        loop.scheduleAt((long) run.firstTokenNanos(), () -> {
            if (running.get(id) == run && !run.firstTokenReported()) {
                run.listener().onFirstToken();
            }
        });
        loop.scheduleAt((long) (run.firstTokenNanos() + (run.tokens() - 1) * run.tokenNanos()), () -> {
            if (running.remove(id, run)) {
                run.listener().onEnd(run.previousTokens() + run.tokens());
            }
        });
    }

    /** Returns whether a request is running. */
    public boolean isRunning(String requestId) {
        return running.containsKey(requestId);
    }

    /** Stops a running request and returns the number of tokens that it has produced. */
    public int cancel(String requestId) {
        RunningRequest run = running.remove(requestId);
        return run.previousTokens() + run.tokensProducedBy(loop.nowNanos());
    }

    /** Crashes the engine: all running requests fail and the cache is lost. */
    public void crash() {
        dead = true;
        failAll();
    }

    /** Restarts the engine with an empty cache; all running requests fail. */
    public void restart() {
        dead = false;
        failAll();
    }

    private void failAll() {
        List<RunningRequest> failed = new ArrayList<>(running.values());
        running.clear();
        cachedPrefixes.clear();
        failed.forEach(run -> run.listener().onFailure());
    }

    /** Receives the progress of a request. */
    public interface Listener {
        /** Called when this attempt has produced its first token. */
        void onFirstToken();

        /**
         * Called when the request is complete.
         *
         * @param tokens tokens produced by this attempt
         */
        void onEnd(int tokens);

        /** Called when the engine crashes or restarts. */
        void onFailure();
    }

    private record RunningRequest(
            Listener listener,
            double firstTokenNanos,
            double tokenNanos,
            int tokens,
            int previousTokens,
            boolean firstTokenReported) {
        private int tokensProducedBy(long nowNanos) {
            double stepsSinceFirstToken = Math.floor((nowNanos - firstTokenNanos) / tokenNanos + 1e-6);
            return (int) Math.max(0, Math.min(tokens, stepsSinceFirstToken + 1));
        }
    }
}
