package org.masticcroft.kernel.admission;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import org.masticcroft.kernel.config.RankConfig;

/** Baseline policy: never preempts a running request. */
public final class NoPreemption implements PreemptionPolicy {
    /** Creates the plug-in; used by the service loader. */
    public NoPreemption() {}

    @Override
    public String name() {
        return "never";
    }

    @Override
    public Optional<Ticket> victim(Ticket waiting, List<Ticket> running, SortedMap<String, RankConfig> ranks) {
        return Optional.empty();
    }
}
