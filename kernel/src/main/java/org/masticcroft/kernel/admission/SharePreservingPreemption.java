package org.masticcroft.kernel.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import org.masticcroft.kernel.config.RankConfig;

/**
 * Lets a rank preempt the least urgent rank that uses more slots than its guaranteed share. Within a rank, lets a
 * customer preempt another customer that uses more than twice as many slots per weight. The newest ticket is preempted,
 * because it has the least progress to lose.
 */
public final class SharePreservingPreemption implements PreemptionPolicy {
    /** Hysteresis, so that customers with similar numbers of slots do not preempt each other in turn. */
    private static final double MAX_SLOT_RATIO = 2;

    /** Creates the plug-in; used by the service loader. */
    public SharePreservingPreemption() {}

    @Override
    public String name() {
        return "share-preserving";
    }

    @Override
    public Optional<Ticket> victim(Ticket waiting, List<Ticket> running, SortedMap<String, RankConfig> ranks) {
        RankConfig waitingRank = ranks.get(waiting.rank());
        if (waitingRank == null) {
            return Optional.empty();
        }
        Map<String, Integer> slotsByRank = new HashMap<>();
        Map<String, Integer> slotsByCustomer = new HashMap<>();
        for (Ticket ticket : running) {
            slotsByRank.merge(ticket.rank(), 1, Integer::sum);
            slotsByCustomer.merge(ticket.rank() + '/' + ticket.customer(), 1, Integer::sum);
        }
        double waitingSlotsPerWeight = (slotsOf(waiting, slotsByCustomer) + 1) / weightOf(waiting);
        return running.stream()
                .filter(ticket -> ticket.rank().equals(waiting.rank())
                        ? slotsOf(ticket, slotsByCustomer) / weightOf(ticket) > MAX_SLOT_RATIO * waitingSlotsPerWeight
                        : isAboveShare(
                                ranks.get(ticket.rank()), waitingRank, slotsByRank.get(ticket.rank()), running.size()))
                .max(Comparator.comparingInt((Ticket ticket) -> orderOf(ranks.get(ticket.rank())))
                        .thenComparingDouble(ticket -> slotsOf(ticket, slotsByCustomer) / weightOf(ticket))
                        .thenComparingLong(Ticket::arrivalNanos)
                        .thenComparing(Ticket::requestId));
    }

    private static boolean isAboveShare(RankConfig rank, RankConfig waitingRank, int slots, int totalSlots) {
        return rank == null || rank.order() > waitingRank.order() && slots - 1 >= rank.share() * totalSlots;
    }

    private static double slotsOf(Ticket ticket, Map<String, Integer> slotsByCustomer) {
        return slotsByCustomer.getOrDefault(ticket.rank() + '/' + ticket.customer(), 0);
    }

    private static double weightOf(Ticket ticket) {
        return ticket.weight() > 0 ? ticket.weight() : 1;
    }

    private static int orderOf(RankConfig rank) {
        return rank == null ? Integer.MAX_VALUE : rank.order();
    }
}
