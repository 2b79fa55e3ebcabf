package org.masticcroft.kernel.rollout;

import java.util.BitSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * What a sidecar knows when it decides which chunk to fetch next.
 *
 * @param self instance id of the sidecar
 * @param chunkCount number of chunks of the weights
 * @param held chunks that are verified and staged; not modified
 * @param inProgress chunks that are being fetched; not modified
 * @param regionMembers ids of the live sidecars of this region that want the same weights, with this one
 * @param peers the peers whose bitmap is known
 * @param sinceStartMillis time since this sidecar began to fetch these weights
 * @param lastProgressMillis time since this sidecar last completed a chunk
 * @param store what is known of the weight store
 */
public record FetchView(
        String self,
        int chunkCount,
        BitSet held,
        Set<Integer> inProgress,
        List<String> regionMembers,
        List<Peer> peers,
        long sinceStartMillis,
        long lastProgressMillis,
        Store store) {
    /** Copies the collections; the bit sets are shared and must not be modified. */
    public FetchView {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(held, "held");
        inProgress = Set.copyOf(inProgress);
        regionMembers = List.copyOf(regionMembers);
        peers = List.copyOf(peers);
        Objects.requireNonNull(store, "store");
    }

    /** Creates a view of a sidecar in the first region, whose weight store is not suspected. */
    public FetchView(
            String self,
            int chunkCount,
            BitSet held,
            Set<Integer> inProgress,
            List<String> regionMembers,
            List<Peer> peers,
            long sinceStartMillis,
            long lastProgressMillis) {
        this(
                self,
                chunkCount,
                held,
                inProgress,
                regionMembers,
                peers,
                sinceStartMillis,
                lastProgressMillis,
                Store.of(true));
    }

    /**
     * A peer that holds chunks.
     *
     * @param instance instance id
     * @param sameRegion whether the peer is in the region of the fetching sidecar
     * @param chunks chunks that the peer holds; not modified
     * @param freeUploadSlots upload slots that were free at the last report
     * @param suspectedUntilMillis time, on the scale of {@code sinceStartMillis}, until which the peer is set back
     */
    public record Peer(
            String instance, boolean sameRegion, BitSet chunks, int freeUploadSlots, long suspectedUntilMillis) {
        public Peer {
            Objects.requireNonNull(instance, "instance");
            Objects.requireNonNull(chunks, "chunks");
        }
    }

    /**
     * The weight store.
     *
     * @param firstRegion whether this region draws from the store; the others wait for peers of the first region
     * @param suspectedUntilMillis time, on the scale of {@code sinceStartMillis}, until which the store is set back
     */
    public record Store(boolean firstRegion, long suspectedUntilMillis) {
        /** Returns a store that is not suspected. */
        public static Store of(boolean firstRegion) {
            return new Store(firstRegion, 0);
        }
    }
}
