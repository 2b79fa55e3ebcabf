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

/** Waiting requests of one upstream group. Guarded by the lock of the gate. */
final class GroupQueue {
    /** Tickets that left the queue without finding an upstream; bounds how far the queue's order is run ahead of. */
    static final int MAX_HELD = 8;

    private AdmissionQueue queue;
    private final Map<String, Waiter> queued = new LinkedHashMap<>();
    private final List<Held> held = new ArrayList<>();
    private final List<Waiter> deferred = new ArrayList<>();

    GroupQueue(AdmissionQueue queue) {
        this.queue = queue;
    }

    /** Offers a request, or puts one back that was admitted before. */
    void offer(Waiter waiter, long now) {
        admit(
                waiter,
                waiter.admittedBefore() ? queue.requeue(waiter.ticket(), now) : queue.offer(waiter.ticket(), now));
    }

    /** Enters a request and refuses those that the queue refuses or displaces. */
    private void admit(Waiter waiter, Admission admission) {
        if (admission instanceof Admission.Refused refused) {
            refuse(waiter, refused.code(), refused.retryAfter());
        } else if (admission instanceof Admission.Queued accepted) {
            queued.put(waiter.ticket().requestId(), waiter);
            accepted.displaced()
                    .forEach(ticket -> Optional.ofNullable(queued.remove(ticket.requestId()))
                            .ifPresent(
                                    displaced -> refuse(displaced, ErrorCode.QUEUE_FULL, AdmissionGate.RETRY_AFTER)));
        }
    }

    /** Offers the requests again for which the queue had no room although they were admitted before. */
    void offerDeferred(long now) {
        List<Waiter> again = List.copyOf(deferred);
        deferred.clear();
        again.forEach(waiter -> offer(waiter, now));
    }

    /** Moves all queued requests to a new queue. */
    void replace(AdmissionQueue newQueue, long now) {
        List<Waiter> moved = List.copyOf(queued.values());
        queued.clear();
        queue = newQueue;
        moved.forEach(waiter -> admit(waiter, queue.requeue(waiter.ticket(), now)));
    }

    /** Takes the next request out of the queue and holds it until it is placed. */
    boolean pollToHeld(long now) {
        return hold(queue.poll(now), now);
    }

    /**
     * Takes the oldest urgent request out of turn, for a place that only an urgent one may have. A queue that takes
     * none out of turn is asked for its next request instead.
     */
    boolean takeUrgentToHeld(long now) {
        Optional<Ticket> urgent = queued.values().stream()
                .filter(waiter -> waiter.query().urgent())
                .findFirst()
                .flatMap(waiter -> queue.take(waiter.ticket().requestId(), now));
        return urgent.isPresent() ? hold(urgent, now) : pollToHeld(now);
    }

    private boolean hold(Optional<Ticket> ticket, long now) {
        ticket.ifPresent(next -> {
            Waiter waiter = queued.remove(next.requestId());
            if (waiter == null) {
                queue.finish(next, 0, now);
            } else {
                held.add(new Held(next, queue, waiter, now));
                held.sort(Comparator.<Held, Boolean>comparing(
                                item -> !item.waiter.query().urgent())
                        .thenComparing(item -> item.ticket.arrivalNanos()));
            }
        });
        return ticket.isPresent();
    }

    List<Held> held() {
        return List.copyOf(held);
    }

    void placed(Held item) {
        held.remove(item);
    }

    /** Refuses a held request that no upstream serves any more. */
    void unserved(Held item, long now) {
        held.remove(item);
        item.queue.finish(item.ticket, 0, now);
        item.waiter.onRefused(ErrorCode.NO_UPSTREAM, AdmissionGate.RETRY_AFTER);
    }

    boolean isHoldingFull() {
        return held.size() >= MAX_HELD;
    }

    boolean hasUrgent() {
        return queued.values().stream().anyMatch(waiter -> waiter.query().urgent());
    }

    boolean isEmpty() {
        return queued.isEmpty() && held.isEmpty() && deferred.isEmpty();
    }

    /** Removes a request that does not want a place any more. */
    void cancel(Waiter waiter, long now) {
        String id = waiter.ticket().requestId();
        if (queued.remove(id, waiter)) {
            queue.remove(id);
        }
        deferred.remove(waiter);
        held.removeIf(item -> {
            boolean match = item.waiter == waiter;
            if (match) {
                item.queue.finish(item.ticket, 0, now);
            }
            return match;
        });
    }

    /** Returns the number of waiting requests by rank. */
    SortedMap<String, Integer> lengths() {
        SortedMap<String, Integer> lengths = new TreeMap<>();
        queued.values().forEach(waiter -> lengths.merge(waiter.ticket().rank(), 1, Integer::sum));
        held.forEach(item -> lengths.merge(item.ticket.rank(), 1, Integer::sum));
        deferred.forEach(waiter -> lengths.merge(waiter.ticket().rank(), 1, Integer::sum));
        return lengths;
    }

    private void refuse(Waiter waiter, ErrorCode code, Duration retryAfter) {
        if (waiter.admittedBefore()) {
            deferred.add(waiter);
        } else {
            waiter.onRefused(code, retryAfter);
        }
    }

    /** A request that left the queue and waits for an upstream that suits it. */
    record Held(Ticket ticket, AdmissionQueue queue, Waiter waiter, long sinceNanos) {}
}
