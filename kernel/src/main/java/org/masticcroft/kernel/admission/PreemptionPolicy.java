package org.masticcroft.kernel.admission;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import org.masticcroft.kernel.config.RankConfig;
import org.masticcroft.kernel.plugin.Plugin;

/** Decides which running request is preempted in favour of a waiting one. Implementations are stateless. */
public interface PreemptionPolicy extends Plugin {
    /**
     * Returns the running ticket to preempt, or empty if the waiting ticket must wait for a free slot.
     *
     * @param waiting the ticket that found no free slot
     * @param running the tickets that occupy the slots that the waiting one could use
     * @param ranks the ranks, by name
     */
    Optional<Ticket> victim(Ticket waiting, List<Ticket> running, SortedMap<String, RankConfig> ranks);
}
