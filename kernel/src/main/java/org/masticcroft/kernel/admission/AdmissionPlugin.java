package org.masticcroft.kernel.admission;

import java.util.SortedMap;
import org.masticcroft.kernel.config.RankConfig;
import org.masticcroft.kernel.plugin.Plugin;

/** Creates admission queues. */
public interface AdmissionPlugin extends Plugin {
    /**
     * Creates an empty queue.
     *
     * @param ranks the ranks, by name
     */
    AdmissionQueue create(SortedMap<String, RankConfig> ranks);
}
