package org.masticcroft.kernel.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RegionalSwarmPlannerTest {
    private static final int CHUNKS = 4;
    private static final List<String> MEMBERS = List.of("a", "b", "c", "d", "e");

    private static Optional<Fetch> next(
            String self, List<FetchView.Peer> peers, long sinceProgressMillis, boolean storeInRegion) {
        FetchView view = new FetchView(
                self,
                CHUNKS,
                new BitSet(),
                Set.of(),
                MEMBERS,
                peers,
                sinceProgressMillis,
                sinceProgressMillis,
                FetchView.Store.of(storeInRegion));
        return new RegionalSwarmPlanner().next(view, RandomSource.SPLIT_MIX_64.create(3L));
    }

    private static FetchView.Peer peer(String name, boolean sameRegion, int freeUploadSlots) {
        BitSet all = new BitSet();
        all.set(0, CHUNKS);
        return new FetchView.Peer(name, sameRegion, all, freeUploadSlots, 0);
    }

    @Nested
    class Outside {
        /** Guards against a chunk that two members of the region of the store fetch from the store. */
        @Test
        void givesEachChunkOneOwner() {
            Map<Integer, String> owners = new HashMap<>();
            for (String member : MEMBERS) {
                next(member, List.of(), 0, true)
                        .ifPresent(fetch ->
                                assertThat(owners.put(fetch.chunk(), member)).isNull());
            }
            assertThat(owners).isNotEmpty();
        }

        /** Guards against a chunk that no member fetches because its owner makes no progress. */
        @Test
        void letsEveryMemberTakeOverAfterTheTimeout() {
            assertThat(MEMBERS)
                    .allMatch(member -> next(member, List.of(), 60_000, true).isPresent());
        }

        /** Guards against members that all fetch the same chunk when a store is back after an outage. */
        @Test
        void letsEachMemberFetchItsOwnChunksFirstAfterAnOutage() {
            Map<Integer, String> owners = new HashMap<>();
            for (String member : MEMBERS) {
                next(member, List.of(), 0, true).ifPresent(fetch -> owners.put(fetch.chunk(), member));
            }
            for (Map.Entry<Integer, String> owner : owners.entrySet()) {
                assertThat(next(owner.getValue(), List.of(), 60_000, true)
                                .orElseThrow()
                                .chunk())
                        .isEqualTo(owner.getKey());
            }
        }

        /** Guards against a region that fetches from a remote store although it can wait for peers near the store. */
        @Test
        void waitsForTheRegionOfTheStore() {
            assertThat(MEMBERS)
                    .allMatch(member -> next(member, List.of(), 0, false).isEmpty());
        }
    }

    @Nested
    class Inside {
        /** Guards against inter-region traffic for a chunk that a peer of the region holds. */
        @Test
        void prefersPeersOfTheRegion() {
            List<FetchView.Peer> peers = List.of(peer("b", true, 1), peer("x", false, 1));
            assertThat(next("a", peers, 60_000, false)).map(Fetch::source).contains(new Fetch.Source.PeerSource("b"));
        }

        @Test
        void skipsPeersWithoutAFreeUploadSlot() {
            assertThat(next("a", List.of(peer("b", true, 0)), 0, false)).isEmpty();
        }
    }
}
