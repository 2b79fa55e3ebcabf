package org.masticcroft.gateway.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.weights.LoadTurn.Half;
import org.masticcroft.gateway.weights.LoadTurn.Halves;

/** Pattern: a version change of the whole fleet under load. */
class LoadTurnTest {
    private static final long ANY_ALLOWED = 0;

    @Nested
    class VersionChange {
        /** Guards against a region in which no engine serves while all of them load. */
        @Test
        void letsTheSecondHalfServeUntilTheFirstHalfServesTheNewVersion() {
            assertThat(LoadTurn.mayLoad(Half.FIRST, 2, 3, ANY_ALLOWED, List.of(2L, 2L)))
                    .isTrue();
            assertThat(LoadTurn.mayLoad(Half.SECOND, 2, 3, ANY_ALLOWED, List.of(0L, 2L)))
                    .isFalse();
            assertThat(LoadTurn.mayLoad(Half.SECOND, 2, 3, ANY_ALLOWED, List.of(3L, 3L)))
                    .isTrue();
        }

        /** Guards against two versions named in short succession whose loads coincide in both halves. */
        @Test
        void letsTheFirstHalfServeWhileTheSecondHalfLoads() {
            assertThat(LoadTurn.mayLoad(Half.FIRST, 2, 3, ANY_ALLOWED, List.of(0L, 0L)))
                    .isFalse();
        }

        /** Guards against a first half that stops although the second half serves a version that is not used. */
        @Test
        void letsTheFirstHalfServeUntilTheSecondHalfHasAnAllowedVersion() {
            assertThat(LoadTurn.mayLoad(Half.FIRST, 2, 3, 2, List.of(1L, 1L))).isFalse();
            assertThat(LoadTurn.mayLoad(Half.FIRST, 2, 3, 2, List.of(3L, 3L))).isTrue();
        }

        /** Guards against an engine that waits although it gets no requests any more. */
        @Test
        void letsBothHalvesLoadOnceTheirVersionIsNoLongerAllowed() {
            assertThat(LoadTurn.mayLoad(Half.SECOND, 1, 3, 2, List.of(0L, 0L))).isTrue();
            assertThat(LoadTurn.mayLoad(Half.FIRST, 2, 3, 3, List.of(0L, 0L))).isTrue();
            assertThat(LoadTurn.mayLoad(Half.SECOND, 0, 3, ANY_ALLOWED, List.of(0L, 0L)))
                    .isTrue();
        }

        /** Guards against one failed engine that keeps half of its region on the old version. */
        @Test
        void isNotDelayedByOneFailedEngineOfMany() {
            assertThat(LoadTurn.mayLoad(Half.SECOND, 2, 3, ANY_ALLOWED, List.of(3L, 3L, 3L, 0L)))
                    .isTrue();
        }

        /** Guards against an engine that waits for peers that are gone. */
        @Test
        void doesNotWaitIfNoEngineOfTheOtherHalfIsAlive() {
            assertThat(LoadTurn.mayLoad(Half.SECOND, 2, 3, ANY_ALLOWED, List.of()))
                    .isTrue();
        }
    }

    @Nested
    class Split {
        /** Guards against halves that differ between the engines of a region, or in size by more than one. */
        @Test
        void isTheSameForAllMembers() {
            List<String> members = List.of("10.0.0.3", "10.0.0.1", "10.0.0.2");

            assertThat(Halves.of("10.0.0.1", members)).isEqualTo(new Halves(Half.FIRST, List.of("10.0.0.2")));
            assertThat(Halves.of("10.0.0.2", members))
                    .isEqualTo(new Halves(Half.SECOND, List.of("10.0.0.1", "10.0.0.3")));
            assertThat(Halves.of("10.0.0.3", members)).isEqualTo(new Halves(Half.FIRST, List.of("10.0.0.2")));
        }
    }
}
