package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Queue of the requests of one service that wait for an upstream with capacity. Requests are dispatched by rank. A
 * request that missed its target ranks lower, because a late response is worth less. A request that cannot be served in
 * time is refused as soon as this is known, so that its caller learns when to retry.
 */
public final class ServiceQueue {
    /** Number of ranks by which a late request is moved back; deployments use three ranks. */
    private static final int LATE_RANK_PENALTY = 3;

    /** Priority of requests that were sent before, ahead of all others: their callers have part of a response. */
    private static final double ALREADY_SENT_PRIORITY = -1;

    /** Maximum share of its remaining time that a late request may wait; the rest is for the response itself. */
    private static final double MAX_LATE_WAIT_SHARE = 0.4;

    /** Retry-after time while no upstream serves; engines are back after seconds. */
    private static final Duration OUTAGE_RETRY_AFTER = Duration.ofMillis(2000);

    /** Ratio of the time to the first byte of the slowest tenth of the responses to the mean, in a loaded service. */
    private static final int SLOW_RESPONSE_RATIO = 2;

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(2);

    /** Interval of the checks for requests that can no longer be served in time. */
    private static final long EXPIRY_CHECK_NANOS = 100_000_000L;

    private final String service;
    private final TimeSource time;
    private final UpstreamTable table;
    private final UpstreamChooser chooser;
    private final DecisionLog log;
    private final WaitEstimate estimate;
    private final List<QueuedRequest> waiting = new ArrayList<>();
    private long lastExpiryCheckNanos;

    private ServiceQueue(
            String service, TimeSource time, UpstreamTable table, UpstreamChooser chooser, DecisionLog log) {
        this.service = service;
        this.time = time;
        this.table = table;
        this.chooser = chooser;
        this.log = log;
        this.lastExpiryCheckNanos = time.nanoTime();
        this.estimate = WaitEstimate.of(lastExpiryCheckNanos);
    }

    /** Creates an empty queue. */
    public static ServiceQueue of(
            String service, TimeSource time, UpstreamTable table, UpstreamChooser chooser, DecisionLog log) {
        return new ServiceQueue(service, time, table, chooser, log);
    }

    public int size() {
        return waiting.size();
    }

    /** Records the time from the dispatch of a request to the first byte of its response. */
    public void recordTimeToFirstByte(Duration timeToFirstByte) {
        estimate.recordTimeToFirstByte(timeToFirstByte);
    }

    /** Dispatches a request to an upstream at once, queues it, or refuses it if it would wait too long. */
    public void add(QueuedRequest request, Optional<EngineProfile> profile, VersionLimit statedLimit) {
        long now = time.nanoTime();
        VersionLimit limit = forSlowResponses(statedLimit);
        double priority = priority(request, now);
        if (!request.alreadySent() && !isLate(request, now)) {
            estimate.recordArrival(request.rank(), now);
        }
        List<Upstream> upstreams = table.ofService(service);
        if (isNext(priority, upstreams, profile, limit, now)) {
            Optional<QueuedRequest.Choice> choice = chooser.choose(request, upstreams, profile, limit, now);
            if (choice.isPresent()) {
                dispatch(request, choice.get());
                return;
            }
        }
        if (!chooser.anyServing(request, upstreams, profile, limit, now)) {
            refuse(request, "no-upstream", OUTAGE_RETRY_AFTER);
            return;
        }
        Duration pause = UpstreamChooser.untilPauseEnds(table.ofService(service), now);
        if (outlasts(pause, request, now)) {
            refuse(request, "upstreams-paused", pause);
            return;
        }
        Duration wait = expectedWait(request, priority, now);
        if (!request.alreadySent() && !worthWaiting(request, wait, now)) {
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

    /**
     * Dispatches the hedge of a request at once, or not at all. While requests wait, the capacity is theirs.
     *
     * @param worthwhile whether the upstream that was chosen is worth a hedge
     * @return whether the hedge was dispatched
     */
    public boolean dispatchHedge(
            QueuedRequest request,
            Optional<EngineProfile> profile,
            VersionLimit statedLimit,
            Predicate<QueuedRequest.Choice> worthwhile) {
        if (!waiting.isEmpty()) {
            return false;
        }
        long now = time.nanoTime();
        Optional<QueuedRequest.Choice> choice = chooser.choose(
                        request, table.ofService(service), profile, forSlowResponses(statedLimit), now)
                .filter(chosen -> chosen.load() < chosen.upstream().listing().slots())
                .filter(worthwhile);
        choice.ifPresent(chosen -> dispatch(request, chosen));
        return choice.isPresent();
    }

    /**
     * Returns why a request must not be sent any more to the upstream that was chosen for it, for the log; empty if it
     * may be sent. To be asked right before the send.
     */
    public Optional<String> sendObjection(
            QueuedRequest request, Upstream upstream, Optional<EngineProfile> profile, VersionLimit statedLimit) {
        return chooser.sendObjection(request, upstream, profile, forSlowResponses(statedLimit), time.nanoTime());
    }

    /** Returns what {@link #add} would do with a request that was not sent before, and changes nothing. */
    public QueueForecast forecast(QueuedRequest request, Optional<EngineProfile> profile, VersionLimit statedLimit) {
        long now = time.nanoTime();
        VersionLimit limit = forSlowResponses(statedLimit);
        List<Upstream> upstreams = table.ofService(service);
        List<UpstreamAssessment> assessments = chooser.assess(request, upstreams, profile, limit, now);
        double priority = priority(request, now);
        Optional<QueuedRequest.Choice> choice = isNext(priority, upstreams, profile, limit, now)
                ? chooser.choose(request, upstreams, profile, limit, now)
                : Optional.empty();
        Duration wait = choice.isPresent() ? Duration.ZERO : expectedWait(request, priority, now);
        String reason = "";
        if (choice.isEmpty()) {
            if (!chooser.anyServing(request, upstreams, profile, limit, now)) {
                reason = "no-upstream";
            } else if (outlasts(UpstreamChooser.untilPauseEnds(upstreams, now), request, now)) {
                reason = "upstreams-paused";
            } else if (!worthWaiting(request, wait, now)) {
                reason = "expected-wait";
            }
        }
        String decision = choice.isPresent() ? "sent" : reason.isEmpty() ? "queued" : "refused";
        return new QueueForecast(decision, reason, wait, waiting.size(), choice, assessments);
    }

    /** Returns whether a request of a priority comes before all waiting ones that an upstream has room for. */
    private boolean isNext(
            double priority, List<Upstream> upstreams, Optional<EngineProfile> profile, VersionLimit limit, long now) {
        return waiting.stream()
                .filter(other -> priority(other, now) <= priority)
                .allMatch(other -> waitsForFewUpstreams(other, profile)
                        && chooser.choose(other, upstreams, profile, limit, now).isEmpty());
    }

    /** Removes a request that no longer waits for an upstream. */
    public void remove(QueuedRequest request) {
        waiting.remove(request);
    }

    /** Dispatches waiting requests in order while upstreams have capacity, and refuses those that cannot be served. */
    public void dispatchWaiting(Optional<EngineProfile> profile, VersionLimit statedLimit) {
        long now = time.nanoTime();
        VersionLimit limit = forSlowResponses(statedLimit);
        estimate.update(now, !waiting.isEmpty());
        if (waiting.isEmpty()) {
            return;
        }
        List<Upstream> upstreams = table.ofService(service);
        refuseUnservable(upstreams, profile, limit, now);
        Set<QueuedRequest> withoutRoom = new HashSet<>();
        Optional<QueuedRequest> next = first(now, withoutRoom);
        while (next.isPresent()) {
            QueuedRequest request = next.get();
            Optional<QueuedRequest.Choice> choice = chooser.choose(request, upstreams, profile, limit, now);
            if (choice.isPresent()) {
                waiting.remove(request);
                dispatch(request, choice.get());
            } else if (waitsForFewUpstreams(request, profile)) {
                // Upstreams that it may not be sent to may have room for others.
                withoutRoom.add(request);
            } else {
                break;
            }
            next = first(now, withoutRoom);
        }
        refuseExpiring(now);
    }

    /**
     * Returns the limit for a request that waits in its engine as long as the slow ones of the service. One entry sees
     * few of the requests at an engine, so its prediction for that engine is too short under load.
     */
    private VersionLimit forSlowResponses(VersionLimit limit) {
        Duration slow = estimate.timeToFirstByte().multipliedBy(SLOW_RESPONSE_RATIO);
        return untilBegin -> limit.oldestAllowed(untilBegin.compareTo(slow) < 0 ? slow : untilBegin);
    }

    /** Returns the position in the order of dispatch; lower is dispatched first. */
    private double priority(QueuedRequest request, long nowNanos) {
        if (request.alreadySent()) {
            return ALREADY_SENT_PRIORITY;
        }
        return request.rank().order() + (isLate(request, nowNanos) ? LATE_RANK_PENALTY : 0);
    }

    /**
     * Returns whether the first byte of a request that is sent now comes after its target. The expected time counts up
     * to half of the target, so that a service in which nothing is on time still serves new requests first.
     */
    private boolean isLate(QueuedRequest request, long nowNanos) {
        long targetNanos = request.target().toNanos();
        long expectedNanos = Math.min(estimate.measuredTimeToFirstByte().toNanos(), targetNanos / 2);
        return nowNanos + expectedNanos - request.waitingSinceNanos() > targetNanos;
    }

    private Optional<QueuedRequest> first(long now, Set<QueuedRequest> excluded) {
        QueuedRequest best = null;
        double bestPriority = Double.POSITIVE_INFINITY;
        for (QueuedRequest request : waiting) {
            double priority = priority(request, now);
            if (priority < bestPriority && !excluded.contains(request)) {
                best = request;
                bestPriority = priority;
            }
        }
        return Optional.ofNullable(best);
    }

    private void dispatch(QueuedRequest request, QueuedRequest.Choice choice) {
        estimate.recordDispatch();
        chooser.onSend(request, choice.upstream(), time.nanoTime());
        request.dispatch(choice);
    }

    private Duration expectedWait(QueuedRequest request, double priority, long now) {
        long ahead = 1;
        for (QueuedRequest other : waiting) {
            double otherPriority = priority(other, now);
            if (other != request
                    && (otherPriority < priority || (otherPriority == priority && arrivedEarlier(other, request)))) {
                ahead++;
            }
        }
        return estimate.predictWait(ahead, priority);
    }

    private static boolean arrivedEarlier(QueuedRequest other, QueuedRequest request) {
        return other.waitingSinceNanos() <= request.waitingSinceNanos();
    }

    /** Returns whether a request is served on time after this wait, or late but before its caller disconnects. */
    private boolean worthWaiting(QueuedRequest request, Duration wait, long now) {
        long startNanos = now + wait.toNanos();
        long firstByteNanos = startNanos + estimate.timeToFirstByte().toNanos();
        if (firstByteNanos - request.waitingSinceNanos() <= request.target().toNanos()) {
            return true;
        }
        double latePriority = request.rank().order() + LATE_RANK_PENALTY;
        Duration lateWait = expectedWait(request, latePriority, now);
        return lateWait.toNanos() <= MAX_LATE_WAIT_SHARE * (request.firstByteDeadlineNanos() - now);
    }

    /** Refuses the requests whose first byte would come only after their callers have disconnected. */
    private void refuseExpiring(long now) {
        if (now - lastExpiryCheckNanos < EXPIRY_CHECK_NANOS) {
            return;
        }
        lastExpiryCheckNanos = now;
        Duration pause = UpstreamChooser.untilPauseEnds(table.ofService(service), now);
        for (QueuedRequest request : List.copyOf(waiting)) {
            if (outlasts(pause, request, now)) {
                waiting.remove(request);
                refuse(request, "upstreams-paused", pause);
                continue;
            }
            long remainingNanos = request.firstByteDeadlineNanos()
                    - now
                    - estimate.timeToFirstByte().toNanos();
            boolean late = isLate(request, now) && !request.alreadySent();
            Duration wait = late ? expectedWait(request, priority(request, now), now) : Duration.ZERO;
            if (remainingNanos < wait.toNanos()) {
                waiting.remove(request);
                refuse(request, "no-time-left", wait);
            }
        }
    }

    /** Returns whether the pause of all upstreams ends only after the first byte of the response is due. */
    private static boolean outlasts(Duration pause, QueuedRequest request, long now) {
        return !pause.isZero() && now + pause.toNanos() - request.firstByteDeadlineNanos() >= 0;
    }

    /**
     * Returns whether a request waits only for some upstreams: those not tried yet, those in allowed regions, or those
     * with much free memory.
     */
    private static boolean waitsForFewUpstreams(QueuedRequest request, Optional<EngineProfile> profile) {
        return request.alreadySent() || request.allowedRegions().restricted() || EngineMemory.isLarge(request, profile);
    }

    /** Refuses the requests that no upstream serves. */
    private void refuseUnservable(
            List<Upstream> upstreams, Optional<EngineProfile> profile, VersionLimit limit, long now) {
        List<QueuedRequest> refused = waiting.stream()
                .filter(request -> !chooser.anyServing(request, upstreams, profile, limit, now))
                .toList();
        waiting.removeAll(refused);
        refused.forEach(request -> refuse(request, "no-upstream", OUTAGE_RETRY_AFTER));
    }

    private static void refuse(QueuedRequest request, String reason, Duration wait) {
        Duration after = wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
        request.refuse(
                new QueuedRequest.Refusal(reason, after.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : after));
    }
}
