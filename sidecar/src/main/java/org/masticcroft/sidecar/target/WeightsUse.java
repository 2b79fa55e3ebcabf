package org.masticcroft.sidecar.target;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.masticcroft.kernel.id.WeightsDigest;

/** Counts the running requests of each set of weights, so that weights in use are not unloaded. */
public final class WeightsUse {
    private final Map<WeightsDigest, Integer> counts = new HashMap<>();
    private final Set<WeightsDigest> retiring = new HashSet<>();

    private WeightsUse() {}

    /** Creates a table without any use. */
    public static WeightsUse empty() {
        return new WeightsUse();
    }

    public synchronized boolean inUse(WeightsDigest digest) {
        return counts.containsKey(digest);
    }

    /** Counts a request, unless the weights are being unloaded. */
    public synchronized boolean tryAcquire(WeightsDigest digest) {
        if (retiring.contains(digest)) {
            return false;
        }
        counts.merge(digest, 1, Integer::sum);
        return true;
    }

    /** Ends a request that {@link #tryAcquire} counted. */
    public synchronized void release(WeightsDigest digest) {
        counts.computeIfPresent(digest, (key, count) -> count > 1 ? count - 1 : null);
    }

    /** Bars new requests from the weights; returns whether no request uses them any more. */
    public synchronized boolean retire(WeightsDigest digest) {
        retiring.add(digest);
        return !inUse(digest);
    }

    /** Lifts the bar from all weights but these. */
    public synchronized void retireOnly(Set<WeightsDigest> digests) {
        retiring.retainAll(digests);
    }

    /** Returns whether new requests are barred from the weights. */
    public synchronized boolean isRetiring(WeightsDigest digest) {
        return retiring.contains(digest);
    }
}
