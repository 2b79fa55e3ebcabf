package org.masticcroft.kernel.rollout;

import java.util.BitSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * The state of a sidecar and its peers from which a planner decides which chunk to fetch next.
 *
 * @param self instance id of the sidecar
 * @param chunkCount number of chunks of the weights
 * @param held chunks that are verified and staged; must not be modified
 * @param inProgress chunks that are being fetched or must not be fetched now
 * @param regionMembers instance ids of the live sidecars of this region that need the same weights, including this one
 * @param peers the peers whose chunks are known
 * @param sinceStartMillis time since this sidecar started to fetch these weights, in milliseconds
 * @param sinceLastProgressMillis time since this sidecar last completed a chunk, in milliseconds
 * @param store location and state of the weight store
 */
public record FetchView(
        String self,
        int chunkCount,
        BitSet held,
        Set<Integer> inProgress,
        List<String> regionMembers,
        List<Peer> peers,
        long sinceStartMillis,
        long sinceLastProgressMillis,
        Store store) {
    /** Copies the collections, but shares the bit sets, which must not be modified. */
    public FetchView {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(held, "held");
        inProgress = Set.copyOf(inProgress);
        regionMembers = List.copyOf(regionMembers);
        peers = List.copyOf(peers);
        Objects.requireNonNull(store, "store");
    }

    /** Creates the view of a sidecar in the region of the weight store, with a store that is not suspected. */
    public FetchView(
            String self,
            int chunkCount,
            BitSet held,
            Set<Integer> inProgress,
            List<String> regionMembers,
            List<Peer> peers,
            long sinceStartMillis,
            long sinceLastProgressMillis) {
        this(
                self,
                chunkCount,
                held,
                inProgress,
                regionMembers,
                peers,
                sinceStartMillis,
                sinceLastProgressMillis,
                Store.of(true));
    }

    /**
     * A peer and the chunks that it holds.
     *
     * @param instance instance id of the peer
     * @param sameRegion whether the peer is in the region of the fetching sidecar
     * @param chunks chunks that the peer holds; must not be modified
     * @param freeUploadSlots number of free upload slots in the last report of the peer
     * @param suspectedUntilMillis time, on the scale of {@code sinceStartMillis}, until which no chunk is fetched from
     *     the peer
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
     * @param sameRegion whether the store is in the region of the fetching sidecar; sidecars of other regions wait for
     *     peers of that region and use the store only as a fallback
     * @param suspectedUntilMillis time, on the scale of {@code sinceStartMillis}, until which no chunk is fetched from
     *     the store
     */
    public record Store(boolean sameRegion, long suspectedUntilMillis) {
        /** Returns a store that is not suspected. */
        public static Store of(boolean sameRegion) {
            return new Store(sameRegion, 0);
        }
    }
}
