package org.masticcroft.entry.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.masticcroft.kernel.admission.Admission;
import org.masticcroft.kernel.admission.AdmissionQueue;
import org.masticcroft.kernel.admission.Ticket;
import org.masticcroft.kernel.error.ErrorCode;

/** Waiting requests of one upstream group. Guarded by the lock of the admission gate. */
final class GroupQueue {
    /** Maximum number of polled requests without an upstream; bounds how far the gate polls ahead of free slots. */
    static final int MAX_POLLED = 8;

    private AdmissionQueue queue;
    private final Map<String, Waiter> queued = new LinkedHashMap<>();
    private final List<PolledRequest> polled = new ArrayList<>();
    private final List<Waiter> deferred = new ArrayList<>();

    GroupQueue(AdmissionQueue queue) {
        this.queue = queue;
    }

    /** Offers a request, or requeues one that was admitted before. */
    void offer(Waiter waiter, long now) {
        applyAdmission(
                waiter,
                waiter.admittedBefore() ? queue.requeue(waiter.ticket(), now) : queue.offer(waiter.ticket(), now));
    }

    /** Applies the result of an offer; refuses or defers the requests that the queue refused or displaced. */
    private void applyAdmission(Waiter waiter, Admission admission) {
        if (admission instanceof Admission.Refused refused) {
            refuseOrDefer(waiter, refused.code(), refused.retryAfter());
        } else if (admission instanceof Admission.Queued accepted) {
            queued.put(waiter.ticket().requestId(), waiter);
            accepted.displaced()
                    .forEach(ticket -> Optional.ofNullable(queued.remove(ticket.requestId()))
                            .ifPresent(displaced ->
                                    refuseOrDefer(displaced, ErrorCode.QUEUE_FULL, AdmissionGate.RETRY_AFTER)));
        }
    }

    /** Offers again the previously admitted requests that the queue refused or displaced. */
    void offerDeferred(long now) {
        List<Waiter> retried = List.copyOf(deferred);
        deferred.clear();
        retried.forEach(waiter -> offer(waiter, now));
    }

    /** Moves all queued requests to a new queue. */
    void replace(AdmissionQueue newQueue, long now) {
        List<Waiter> waiters = List.copyOf(queued.values());
        queued.clear();
        queue = newQueue;
        waiters.forEach(waiter -> applyAdmission(waiter, queue.requeue(waiter.ticket(), now)));
    }

    /** Polls the next request from the queue and keeps it until it has an upstream; returns whether there was one. */
    boolean pollNext(long now) {
        return addPolled(queue.poll(now), now);
    }

    /**
     * Takes the oldest urgent request out of turn, for a slot that only urgent requests may use. If the queue does
     * not support taking requests out of turn, polls its next request instead.
     */
    boolean pollUrgent(long now) {
        Optional<Ticket> urgent = queued.values().stream()
                .filter(waiter -> waiter.query().urgent())
                .findFirst()
                .flatMap(waiter -> queue.pollRequest(waiter.ticket().requestId(), now));
        return urgent.isPresent() ? addPolled(urgent, now) : pollNext(now);
    }

    private boolean addPolled(Optional<Ticket> ticket, long now) {
        ticket.ifPresent(next -> {
            Waiter waiter = queued.remove(next.requestId());
            if (waiter == null) {
                queue.finish(next, 0, now);
            } else {
                polled.add(new PolledRequest(next, queue, waiter, now));
                polled.sort(Comparator.<PolledRequest, Boolean>comparing(
                                request -> !request.waiter.query().urgent())
                        .thenComparing(request -> request.ticket.arrivalNanos()));
            }
        });
        return ticket.isPresent();
    }

    List<PolledRequest> polled() {
        return List.copyOf(polled);
    }

    void removePolled(PolledRequest request) {
        polled.remove(request);
    }

    /** Refuses a polled request because no upstream serves its target any more. */
    void refuse(PolledRequest request, long now) {
        polled.remove(request);
        request.queue.finish(request.ticket, 0, now);
        request.waiter.onRefused(ErrorCode.NO_UPSTREAM, AdmissionGate.RETRY_AFTER);
    }

    boolean hasMaxPolled() {
        return polled.size() >= MAX_POLLED;
    }

    boolean hasUrgent() {
        return queued.values().stream().anyMatch(waiter -> waiter.query().urgent());
    }

    boolean isEmpty() {
        return queued.isEmpty() && polled.isEmpty() && deferred.isEmpty();
    }

    /** Removes a request that no longer needs a slot. */
    void cancel(Waiter waiter, long now) {
        String id = waiter.ticket().requestId();
        if (queued.remove(id, waiter)) {
            queue.remove(id);
        }
        deferred.remove(waiter);
        polled.removeIf(request -> {
            boolean match = request.waiter == waiter;
            if (match) {
                request.queue.finish(request.ticket, 0, now);
            }
            return match;
        });
    }

    /** Returns the number of waiting requests by rank. */
    SortedMap<String, Integer> lengths() {
        SortedMap<String, Integer> lengths = new TreeMap<>();
        queued.values().forEach(waiter -> lengths.merge(waiter.ticket().rank(), 1, Integer::sum));
        polled.forEach(request -> lengths.merge(request.ticket.rank(), 1, Integer::sum));
        deferred.forEach(waiter -> lengths.merge(waiter.ticket().rank(), 1, Integer::sum));
        return lengths;
    }

    private void refuseOrDefer(Waiter waiter, ErrorCode code, Duration retryAfter) {
        if (waiter.admittedBefore()) {
            deferred.add(waiter);
        } else {
            waiter.onRefused(code, retryAfter);
        }
    }

    /** A request that was polled from its queue and waits for a suitable upstream. */
    record PolledRequest(Ticket ticket, AdmissionQueue queue, Waiter waiter, long polledNanos) {}
}
