package org.masticcroft.sidecar.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.IntSupplier;
import org.masticcroft.kernel.error.ErrorCode;

/**
 * Assigns the slots of the upstream to dispatches and queues those that wait for a slot. Thread-safe; guarded by the
 * monitor of this object.
 */
final class SlotTable {
    private static final Comparator<ActiveDispatch> MOST_URGENT_FIRST =
            Comparator.comparingInt(ActiveDispatch::rankOrder).thenComparingLong(ActiveDispatch::sequence);

    private final IntSupplier slotCount;
    private final int queueLimit;
    private final Set<ActiveDispatch> running = new HashSet<>();
    private final PriorityQueue<ActiveDispatch> waiting = new PriorityQueue<>(MOST_URGENT_FIRST);

    SlotTable(IntSupplier slotCount, int queueLimit) {
        this.slotCount = Objects.requireNonNull(slotCount, "slotCount");
        this.queueLimit = queueLimit;
    }

    synchronized int runningCount() {
        return running.size();
    }

    synchronized int waitingCount() {
        return waiting.size();
    }

    synchronized List<ActiveDispatch> all() {
        List<ActiveDispatch> all = new ArrayList<>(running);
        all.addAll(waiting);
        return all;
    }

    /** Admits a dispatch: it starts, waits for a slot (for which it may preempt a running dispatch), or is refused. */
    synchronized Admission offer(ActiveDispatch active) {
        if (running.size() < slotCount.getAsInt() && waiting.isEmpty()) {
            running.add(active);
            return Admission.STARTED;
        }
        Optional<ActiveDispatch> victim = active.rankOrder() == 0 ? markVictim() : Optional.empty();
        if (victim.isEmpty() && waiting.size() >= queueLimit) {
            return Admission.REFUSED;
        }
        waiting.add(active);
        return new Admission(Admission.Kind.WAITING, victim);
    }

    /** Removes a dispatch and returns the waiting dispatches that start in its place. */
    synchronized List<ActiveDispatch> release(ActiveDispatch active) {
        running.remove(active);
        waiting.remove(active);
        return startWaiting();
    }

    /** Moves waiting dispatches into free slots, the most urgent first, and returns them. */
    synchronized List<ActiveDispatch> startWaiting() {
        List<ActiveDispatch> started = new ArrayList<>();
        while (!waiting.isEmpty() && running.size() < slotCount.getAsInt()) {
            ActiveDispatch next = waiting.poll();
            running.add(next);
            started.add(next);
        }
        return started;
    }

    /** Removes a dispatch from the queue; returns false if it is running or has ended. */
    synchronized boolean removeWaiting(ActiveDispatch active) {
        return waiting.remove(active);
    }

    /**
     * Requests a stop of the least urgent of the running idempotent dispatches and returns it; empty if there is none,
     * or if more dispatches are being stopped already than urgent ones wait.
     */
    private Optional<ActiveDispatch> markVictim() {
        long waitingUrgent =
                waiting.stream().filter(active -> active.rankOrder() == 0).count();
        long stopping = running.stream()
                .filter(active -> active.stopReason().isPresent())
                .count();
        if (stopping > waitingUrgent) {
            return Optional.empty();
        }
        Optional<ActiveDispatch> victim = running.stream()
                .filter(active -> active.rankOrder() > 0 && active.dispatch().getIdempotent())
                .filter(active -> active.stopReason().isEmpty())
                .max(MOST_URGENT_FIRST);
        return victim.filter(active -> active.requestStop(ErrorCode.PREEMPTED));
    }

    /**
     * Result of {@link #offer}.
     *
     * @param kind whether the dispatch starts, waits or is refused
     * @param preempted running dispatch that is preempted and must be cancelled at the upstream, if any
     */
    record Admission(Kind kind, Optional<ActiveDispatch> preempted) {
        private static final Admission STARTED = new Admission(Kind.STARTED, Optional.empty());
        private static final Admission REFUSED = new Admission(Kind.REFUSED, Optional.empty());

        enum Kind {
            STARTED,
            WAITING,
            REFUSED
        }
    }
}
