package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Requests of one service that wait for an upstream with room. Requests that can still be on time are served by rank;
 * late ones follow those of the next rank, because a late answer is worth less than one on time.
 */
public final class ServiceQueue {
    /** Ranks by which a late request falls behind. */
    private static final double LATE_RANKS = 1.5;

    /** Share of the remaining time that a request may be expected to wait; the rest is for the answer itself. */
    private static final double WAIT_SHARE = 0.4;

    /** Time before the deadline at which a request that waits is refused; an answer takes longer than that. */
    private static final Duration LEAST_SERVICE_TIME = Duration.ofMillis(500);

    /** Part of the deadline of short requests that is left for the answer. */
    private static final double LEAST_SERVICE_SHARE = 0.15;

    /** Weight of the newest interval in the rate at which requests leave the queue. */
    private static final double RATE_WEIGHT = 0.35;

    /** Rate that is assumed before one was measured, in requests per second. */
    private static final double FIRST_RATE = 20;

    /** When to come back while no upstream serves; engines are back after seconds. */
    private static final Duration OUTAGE_RETRY = Duration.ofMillis(1200);

    private static final Duration SHORTEST_RETRY = Duration.ofMillis(100);
    private static final Duration LONGEST_RETRY = Duration.ofSeconds(2);
    private static final long RATE_INTERVAL_NANOS = 500_000_000L;

    private final String service;
    private final TimeSource time;
    private final UpstreamTable table;
    private final UpstreamChooser chooser;
    private final DecisionLog log;
    private final List<Waiting> waiting = new ArrayList<>();
    private double rate = FIRST_RATE;
    private long rateSinceNanos;
    private int dispatchedSince;

    private ServiceQueue(
            String service, TimeSource time, UpstreamTable table, UpstreamChooser chooser, DecisionLog log) {
        this.service = service;
        this.time = time;
        this.table = table;
        this.chooser = chooser;
        this.log = log;
        this.rateSinceNanos = time.nanoTime();
    }

    /** Creates an empty queue. */
    public static ServiceQueue of(
            String service, TimeSource time, UpstreamTable table, UpstreamChooser chooser, DecisionLog log) {
        return new ServiceQueue(service, time, table, chooser, log);
    }

    public int size() {
        return waiting.size();
    }

    /** Sends a request to an upstream at once, lets it wait, or refuses it if it would wait too long. */
    public void add(Waiting request, Optional<EngineProfile> profile, OptionalLong oldestVersion) {
        long now = time.nanoTime();
        double key = key(request, now);
        if (waiting.stream().noneMatch(other -> key(other, now) <= key)) {
            Optional<Waiting.Choice> choice =
                    chooser.choose(request, table.ofService(service), profile, oldestVersion, now);
            if (choice.isPresent()) {
                dispatch(request, choice.get());
                return;
            }
        }
        if (!UpstreamChooser.anyServing(table.ofService(service), profile, oldestVersion, now)) {
            refuse(request, "no-upstream", OUTAGE_RETRY);
            return;
        }
        Duration wait = expectedWait(key, now);
        double remainingMillis = (request.deadlineNanos() - now) / 1e6;
        if (wait.toMillis() > WAIT_SHARE * remainingMillis) {
            refuse(request, "expected-wait", wait);
            return;
        }
        waiting.add(request);
        log.write(
                Event.ADMISSION_DECISION,
                "request",
                request.id(),
                "decision",
                "queued",
                "rank",
                request.rank(),
                "ahead",
                waiting.size() - 1,
                "expected_wait_ms",
                wait.toMillis());
    }

    /** Removes a request whose caller has left. */
    public void remove(Waiting request) {
        waiting.remove(request);
    }

    /** Sends waiting requests to upstreams with room, in order, and refuses those that can no longer be served. */
    public void serve(Optional<EngineProfile> profile, OptionalLong oldestVersion) {
        long now = time.nanoTime();
        refuseExpired(now);
        measureRate(now);
        List<Upstream> upstreams = table.ofService(service);
        while (!waiting.isEmpty()) {
            Waiting first = first(now);
            Optional<Waiting.Choice> choice = chooser.choose(first, upstreams, profile, oldestVersion, now);
            if (choice.isEmpty()) {
                return;
            }
            waiting.remove(first);
            dispatch(first, choice.get());
        }
    }

    /** Returns the position in the order of service; lower is served first. */
    static double key(Waiting request, long nowNanos) {
        boolean late = nowNanos - request.arrivalNanos() > request.target().toNanos();
        return request.rank() + (late ? LATE_RANKS : 0);
    }

    private Waiting first(long now) {
        Waiting best = waiting.get(0);
        double bestKey = key(best, now);
        for (Waiting request : waiting) {
            double key = key(request, now);
            if (key < bestKey) {
                best = request;
                bestKey = key;
            }
        }
        return best;
    }

    private void dispatch(Waiting request, Waiting.Choice choice) {
        dispatchedSince++;
        request.dispatch(choice);
    }

    private Duration expectedWait(double key, long now) {
        long ahead = waiting.stream().filter(other -> key(other, now) <= key).count();
        return Duration.ofMillis((long) (1000 * ahead / Math.max(1, rate)));
    }

    private void measureRate(long now) {
        long interval = now - rateSinceNanos;
        if (interval < RATE_INTERVAL_NANOS) {
            return;
        }
        if (!waiting.isEmpty()) {
            rate += RATE_WEIGHT * (dispatchedSince * 1e9 / interval - rate);
        }
        rateSinceNanos = now;
        dispatchedSince = 0;
    }

    private void refuseExpired(long now) {
        for (Waiting request : List.copyOf(waiting)) {
            double total = request.deadlineNanos() - request.arrivalNanos();
            double least = Math.min(LEAST_SERVICE_TIME.toNanos(), LEAST_SERVICE_SHARE * total);
            if (request.deadlineNanos() - now < least) {
                waiting.remove(request);
                refuse(request, "no-time-left", SHORTEST_RETRY);
            }
        }
    }

    private static void refuse(Waiting request, String reason, Duration wait) {
        Duration after = wait.compareTo(SHORTEST_RETRY) < 0 ? SHORTEST_RETRY : wait;
        request.refuse(new Waiting.Refusal(reason, after.compareTo(LONGEST_RETRY) > 0 ? LONGEST_RETRY : after));
    }
}
