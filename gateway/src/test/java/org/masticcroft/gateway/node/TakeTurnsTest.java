package org.masticcroft.gateway.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Pattern: announcements of many sidecars to one another during a version change. */
class TakeTurnsTest {
    private static List<String> sidecars(int count) {
        return IntStream.range(0, count).mapToObj(Integer::toString).toList();
    }

    @Nested
    class ALargeFleet {
        /** Guards against datagrams that grow with the square of the fleet. */
        @Test
        void getsABoundedNumberOfAnnouncementsAtATime() {
            TakeTurns<String> turns = TakeTurns.of(16);

            assertThat(turns.next(sidecars(342))).hasSize(16);
        }

        /** Guards against a sidecar that never hears from another one. */
        @Test
        void isCoveredAfterAsManyAnnouncementsAsNeeded() {
            TakeTurns<String> turns = TakeTurns.of(16);
            Set<String> reached = new HashSet<>();
            for (int i = 0; i < 6; i++) {
                reached.addAll(turns.next(sidecars(85)));
            }

            assertThat(reached).hasSize(85);
        }

        /** Guards against an index beyond the end when sidecars leave. */
        @Test
        void mayShrink() {
            TakeTurns<String> turns = TakeTurns.of(16);
            turns.next(sidecars(85));

            assertThat(turns.next(sidecars(17))).doesNotHaveDuplicates().hasSize(16);
        }
    }

    @Nested
    class ASmallFleet {
        @Test
        void isReachedByEachAnnouncement() {
            assertThat(TakeTurns.<String>of(16).next(sidecars(6))).isEqualTo(sidecars(6));
        }
    }
}
