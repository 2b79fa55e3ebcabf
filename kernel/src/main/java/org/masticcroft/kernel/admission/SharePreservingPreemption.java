package org.masticcroft.kernel.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import org.masticcroft.kernel.config.RankConfig;

/**
 * Lets the most urgent rank preempt the least urgent one that runs on more slots than its guaranteed share. The newest
 * of its tickets is preempted, because it has the least progress to lose.
 */
public final class SharePreservingPreemption implements PreemptionPolicy {
    /** Creates the plug-in; used by the service loader. */
    public SharePreservingPreemption() {}

    @Override
    public String name() {
        return "share-preserving";
    }

    @Override
    public Optional<Ticket> victim(Ticket waiting, List<Ticket> running, SortedMap<String, RankConfig> ranks) {
        RankConfig urgent = ranks.get(waiting.rank());
        if (urgent == null || ranks.values().stream().anyMatch(rank -> rank.order() < urgent.order())) {
            return Optional.empty();
        }
        Map<String, Integer> slots = new HashMap<>();
        running.forEach(ticket -> slots.merge(ticket.rank(), 1, Integer::sum));
        return running.stream()
                .filter(ticket -> isAboveShare(ranks.get(ticket.rank()), urgent, slots.get(ticket.rank()), running))
                .max(Comparator.comparingInt((Ticket ticket) -> orderOf(ranks.get(ticket.rank())))
                        .thenComparingLong(Ticket::arrivalNanos)
                        .thenComparing(Ticket::requestId));
    }

    private static boolean isAboveShare(RankConfig rank, RankConfig urgent, int slots, List<Ticket> running) {
        return rank == null || rank.order() > urgent.order() && slots - 1 >= rank.share() * running.size();
    }

    private static int orderOf(RankConfig rank) {
        return rank == null ? Integer.MAX_VALUE : rank.order();
    }
}
