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
 * late ones follow those on time, because a late answer is worth less. A request that cannot be served in time is
 * refused as soon as that shows, so that its caller learns when to come back.
 */
public final class ServiceQueue {
    /** Ranks by which a late request falls behind; deployments use three. */
    private static final int LATE_RANKS = 3;

    /** Position before all others, for requests that were sent before: their callers have part of an answer. */
    private static final double BEGUN = -1;

    /** Share of the remaining time that a late request may be expected to wait; the rest is for the answer itself. */
    private static final double WAIT_SHARE = 0.4;

    /** When to come back while no upstream serves; engines are back after seconds. */
    private static final Duration OUTAGE_RETRY = Duration.ofMillis(2000);

    private static final Duration SHORTEST_RETRY = Duration.ofMillis(100);
    private static final Duration LONGEST_RETRY = Duration.ofSeconds(2);

    /** Time between two looks for requests that wait in vain. */
    private static final long REVIEW_NANOS = 100_000_000L;

    private final String service;
    private final TimeSource time;
    private final UpstreamTable table;
    private final UpstreamChooser chooser;
    private final DecisionLog log;
    private final WaitEstimate estimate;
    private final List<Waiting> waiting = new ArrayList<>();
    private long reviewedNanos;

    private ServiceQueue(
            String service, TimeSource time, UpstreamTable table, UpstreamChooser chooser, DecisionLog log) {
        this.service = service;
        this.time = time;
        this.table = table;
        this.chooser = chooser;
        this.log = log;
        this.reviewedNanos = time.nanoTime();
        this.estimate = WaitEstimate.of(reviewedNanos);
    }

    /** Creates an empty queue. */
    public static ServiceQueue of(
            String service, TimeSource time, UpstreamTable table, UpstreamChooser chooser, DecisionLog log) {
        return new ServiceQueue(service, time, table, chooser, log);
    }

    public int size() {
        return waiting.size();
    }

    /** Records the time from the send of a request to the first byte of its answer. */
    public void recordTimeToFirstByte(Duration sinceSend) {
        estimate.recordTimeToFirstByte(sinceSend);
    }

    /** Sends a request to an upstream at once, lets it wait, or refuses it if it would wait too long. */
    public void add(Waiting request, Optional<EngineProfile> profile, OptionalLong oldestVersion) {
        long now = time.nanoTime();
        double key = key(request, now);
        if (!request.begun() && !late(request, now)) {
            estimate.arrived(request.rank(), now);
        }
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
        Duration wait = expectedWait(request, key, now);
        if (!request.begun() && !worthWaiting(request, wait, now)) {
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
                request.rank().order(),
                "ahead",
                waiting.size() - 1,
                "expected_wait_ms",
                wait.toMillis(),
                "waiting_ms",
                (now - request.waitingSinceNanos()) / 1_000_000);
    }

    /** Removes a request whose caller has left. */
    public void remove(Waiting request) {
        waiting.remove(request);
    }

    /** Sends waiting requests to upstreams with room, in order, and refuses those that can no longer be served. */
    public void dispatchWaiting(Optional<EngineProfile> profile, OptionalLong oldestVersion) {
        long now = time.nanoTime();
        estimate.roll(now, !waiting.isEmpty());
        if (waiting.isEmpty()) {
            return;
        }
        List<Upstream> upstreams = table.ofService(service);
        if (!UpstreamChooser.anyServing(upstreams, profile, oldestVersion, now)) {
            refuseAll();
            return;
        }
        while (!waiting.isEmpty()) {
            Waiting first = first(now);
            Optional<Waiting.Choice> choice = chooser.choose(first, upstreams, profile, oldestVersion, now);
            if (choice.isEmpty()) {
                break;
            }
            waiting.remove(first);
            dispatch(first, choice.get());
        }
        review(now);
    }

    /** Returns the position in the order of service; lower is served first. */
    static double key(Waiting request, long nowNanos) {
        if (request.begun()) {
            return BEGUN;
        }
        return request.rank().order() + (late(request, nowNanos) ? LATE_RANKS : 0);
    }

    private static boolean late(Waiting request, long nowNanos) {
        return nowNanos - request.waitingSinceNanos() > request.target().toNanos();
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
        estimate.sent();
        request.dispatch(choice);
    }

    private Duration expectedWait(Waiting request, double key, long now) {
        long ahead = 1;
        for (Waiting other : waiting) {
            double otherKey = key(other, now);
            if (other != request && (otherKey < key || (otherKey == key && earlier(other, request)))) {
                ahead++;
            }
        }
        return estimate.wait(ahead, key);
    }

    private static boolean earlier(Waiting other, Waiting request) {
        return other.waitingSinceNanos() <= request.waitingSinceNanos();
    }

    /** Returns whether a request that waits that long is answered on time, or late but before its caller leaves. */
    private boolean worthWaiting(Waiting request, Duration wait, long now) {
        long start = now + wait.toNanos();
        long answer = start + estimate.firstByte().toNanos();
        if (answer - request.waitingSinceNanos() <= request.target().toNanos()) {
            return true;
        }
        double lateKey = request.rank().order() + LATE_RANKS;
        Duration lateWait = expectedWait(request, lateKey, now);
        return lateWait.toNanos() <= WAIT_SHARE * (request.giveUpNanos() - now);
    }

    /** Refuses the requests that would be answered only after their callers have left. */
    private void review(long now) {
        if (now - reviewedNanos < REVIEW_NANOS) {
            return;
        }
        reviewedNanos = now;
        for (Waiting request : List.copyOf(waiting)) {
            long left = request.giveUpNanos() - now - estimate.firstByte().toNanos();
            boolean late = late(request, now) && !request.begun();
            Duration wait = late ? expectedWait(request, key(request, now), now) : Duration.ZERO;
            if (left < wait.toNanos()) {
                waiting.remove(request);
                refuse(request, "no-time-left", wait);
            }
        }
    }

    private void refuseAll() {
        List<Waiting> refused = List.copyOf(waiting);
        waiting.clear();
        refused.forEach(request -> refuse(request, "no-upstream", OUTAGE_RETRY));
    }

    private static void refuse(Waiting request, String reason, Duration wait) {
        Duration after = wait.compareTo(SHORTEST_RETRY) < 0 ? SHORTEST_RETRY : wait;
        request.refuse(new Waiting.Refusal(reason, after.compareTo(LONGEST_RETRY) > 0 ? LONGEST_RETRY : after));
    }
}
