package org.masticcroft.kernel.admission;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import org.masticcroft.kernel.config.RankConfig;
import org.masticcroft.kernel.plugin.Plugin;

/** Decides which running request gives up its place to a waiting one. Implementations are stateless. */
public interface PreemptionPolicy extends Plugin {
    /**
     * Returns the ticket to preempt, or empty if the waiting one has to wait.
     *
     * @param waiting the ticket that found no free slot
     * @param running the tickets that occupy the slots the waiting one could use
     * @param ranks the ranks, by name
     */
    Optional<Ticket> victim(Ticket waiting, List<Ticket> running, SortedMap<String, RankConfig> ranks);
}
