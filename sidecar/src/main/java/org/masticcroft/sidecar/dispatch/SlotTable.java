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

/** Running and waiting dispatches. Guarded by its monitor. */
final class SlotTable {
    private static final Comparator<ActiveDispatch> MOST_URGENT_FIRST =
            Comparator.comparingInt(ActiveDispatch::rankOrder).thenComparingLong(ActiveDispatch::sequence);

    private final IntSupplier slots;
    private final int queueLimit;
    private final Set<ActiveDispatch> running = new HashSet<>();
    private final PriorityQueue<ActiveDispatch> waiting = new PriorityQueue<>(MOST_URGENT_FIRST);

    SlotTable(IntSupplier slots, int queueLimit) {
        this.slots = Objects.requireNonNull(slots, "slots");
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

    /** Takes a dispatch: it starts, waits (perhaps for the end of a preempted one), or is refused. */
    synchronized Admission offer(ActiveDispatch active) {
        if (running.size() < slots.getAsInt() && waiting.isEmpty()) {
            running.add(active);
            return Admission.STARTED;
        }
        Optional<ActiveDispatch> victim = active.rankOrder() == 0 ? victim() : Optional.empty();
        if (victim.isEmpty() && waiting.size() >= queueLimit) {
            return Admission.REFUSED;
        }
        waiting.add(active);
        return new Admission(Admission.Kind.WAITING, victim);
    }

    /** Frees the slot of a dispatch and returns those that start now. */
    synchronized List<ActiveDispatch> release(ActiveDispatch active) {
        running.remove(active);
        waiting.remove(active);
        return startWaiting();
    }

    /** Returns the waiting dispatches that start now, because slots became free. */
    synchronized List<ActiveDispatch> startWaiting() {
        List<ActiveDispatch> started = new ArrayList<>();
        while (!waiting.isEmpty() && running.size() < slots.getAsInt()) {
            ActiveDispatch next = waiting.poll();
            running.add(next);
            started.add(next);
        }
        return started;
    }

    /** Removes a waiting dispatch; returns false if it runs or has ended. */
    synchronized boolean removeWaiting(ActiveDispatch active) {
        return waiting.remove(active);
    }

    /** Marks the running idempotent dispatch of the least urgent rank, unless enough are being preempted already. */
    private Optional<ActiveDispatch> victim() {
        long urgentWaiting =
                waiting.stream().filter(active -> active.rankOrder() == 0).count();
        long stopping = running.stream()
                .filter(active -> active.stopReason().isPresent())
                .count();
        if (stopping > urgentWaiting) {
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
     * @param kind whether the dispatch started, waits or is refused
     * @param preempted the running dispatch that must be stopped for it, if any
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
