package org.masticcroft.kernel.admission;

import java.util.SortedMap;
import org.masticcroft.kernel.config.RankConfig;

/** Admission by rank, with a guaranteed share for each rank and weighted fair queueing between customers. */
public final class RankedFairAdmission implements AdmissionPlugin {
    /** Creates the plug-in; used by the service loader. */
    public RankedFairAdmission() {}

    @Override
    public String name() {
        return "ranked-fair";
    }

    @Override
    public AdmissionQueue create(SortedMap<String, RankConfig> ranks) {
        return RankedFairQueue.of(ranks);
    }
}
