package org.masticcroft.kernel.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import org.masticcroft.kernel.config.RankConfig;

/**
 * Lets a rank preempt the least urgent one that runs on more slots than its guaranteed share, and within a rank lets a
 * customer preempt one that runs on more than twice as many slots per weight. The newest ticket is preempted, because
 * it has the least progress to lose.
 */
public final class SharePreservingPreemption implements PreemptionPolicy {
    /** Hysteresis: customers with similar numbers of slots do not preempt each other in turn. */
    private static final double MAX_UNFAIRNESS = 2;

    /** Creates the plug-in; used by the service loader. */
    public SharePreservingPreemption() {}

    @Override
    public String name() {
        return "share-preserving";
    }

    @Override
    public Optional<Ticket> victim(Ticket waiting, List<Ticket> running, SortedMap<String, RankConfig> ranks) {
        RankConfig own = ranks.get(waiting.rank());
        if (own == null) {
            return Optional.empty();
        }
        Map<String, Integer> byRank = new HashMap<>();
        Map<String, Integer> byCustomer = new HashMap<>();
        for (Ticket ticket : running) {
            byRank.merge(ticket.rank(), 1, Integer::sum);
            byCustomer.merge(ticket.rank() + '/' + ticket.customer(), 1, Integer::sum);
        }
        double fair = (slotsOf(waiting, byCustomer) + 1) / weightOf(waiting);
        return running.stream()
                .filter(ticket -> ticket.rank().equals(waiting.rank())
                        ? slotsOf(ticket, byCustomer) / weightOf(ticket) > MAX_UNFAIRNESS * fair
                        : isAboveShare(ranks.get(ticket.rank()), own, byRank.get(ticket.rank()), running.size()))
                .max(Comparator.comparingInt((Ticket ticket) -> orderOf(ranks.get(ticket.rank())))
                        .thenComparingDouble(ticket -> slotsOf(ticket, byCustomer) / weightOf(ticket))
                        .thenComparingLong(Ticket::arrivalNanos)
                        .thenComparing(Ticket::requestId));
    }

    private static boolean isAboveShare(RankConfig rank, RankConfig own, int slots, int allSlots) {
        return rank == null || rank.order() > own.order() && slots - 1 >= rank.share() * allSlots;
    }

    private static double slotsOf(Ticket ticket, Map<String, Integer> byCustomer) {
        return byCustomer.getOrDefault(ticket.rank() + '/' + ticket.customer(), 0);
    }

    private static double weightOf(Ticket ticket) {
        return ticket.weight() > 0 ? ticket.weight() : 1;
    }

    private static int orderOf(RankConfig rank) {
        return rank == null ? Integer.MAX_VALUE : rank.order();
    }
}
