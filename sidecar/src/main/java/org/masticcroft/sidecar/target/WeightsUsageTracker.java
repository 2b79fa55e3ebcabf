package org.masticcroft.sidecar.target;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.masticcroft.kernel.id.WeightsDigest;

/** Counts the running requests per set of weights, so that weights in use are not unloaded. */
public final class WeightsUsageTracker {
    private final Map<WeightsDigest, Integer> counts = new HashMap<>();
    private final Set<WeightsDigest> retiring = new HashSet<>();

    private WeightsUsageTracker() {}

    /** Creates a tracker without running requests. */
    public static WeightsUsageTracker empty() {
        return new WeightsUsageTracker();
    }

    public synchronized boolean inUse(WeightsDigest digest) {
        return counts.containsKey(digest);
    }

    /** Counts a new request; returns false if the weights accept no new requests. */
    public synchronized boolean tryAcquire(WeightsDigest digest) {
        if (retiring.contains(digest)) {
            return false;
        }
        counts.merge(digest, 1, Integer::sum);
        return true;
    }

    /** Removes a request that {@link #tryAcquire} counted. */
    public synchronized void release(WeightsDigest digest) {
        counts.computeIfPresent(digest, (key, count) -> count > 1 ? count - 1 : null);
    }

    /** Blocks new requests for the weights; returns whether no running request uses them. */
    public synchronized boolean retire(WeightsDigest digest) {
        retiring.add(digest);
        return !inUse(digest);
    }

    /** Unblocks new requests for all weights except these. */
    public synchronized void unblockAllExcept(Set<WeightsDigest> digests) {
        retiring.retainAll(digests);
    }

    /** Returns whether new requests for the weights are blocked. */
    public synchronized boolean isRetiring(WeightsDigest digest) {
        return retiring.contains(digest);
    }
}
