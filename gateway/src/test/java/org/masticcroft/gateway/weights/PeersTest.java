package org.masticcroft.gateway.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.fleet.FleetChange;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.generated.HeldPieces;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.kernel.rollout.FetchView;
import org.masticcroft.kernel.time.ManualTimeSource;

/** Pattern: two versions named in short succession, of which different sidecars fetch different ones. */
class PeersTest {
    private static final Map<String, String> REGIONS = Map.of("z", "r");

    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final Peers peers = Peers.of(time, "10.0.0.1");

    private void list(String... ips) {
        peers.applyUpstreams(
                List.of(ips).stream()
                        .<FleetChange>map(ip -> new FleetChange.UpstreamListed(new UpstreamListing(
                                ip, "s", new Address(ip, 80), "z", 4, false, 1, 1, OptionalLong.empty())))
                        .toList(),
                "s");
    }

    private void announce(String ip, long version, long servedVersion) {
        peers.recordAnnouncement(
                new Address(ip, 7700),
                HeldPieces.newBuilder()
                        .setModel("m")
                        .setVersion(version)
                        .setServedVersion(servedVersion)
                        .build());
    }

    @Nested
    class Fetchers {
        /** Guards against a piece that waits for an owner which fetches another version. */
        @Test
        void areThoseWhoseNewestAnnouncementIsOfTheVersion() {
            list("10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4");
            announce("10.0.0.2", 2, 1);
            announce("10.0.0.3", 2, 1);
            announce("10.0.0.3", 3, 1);

            assertThat(peers.fetchers(2, REGIONS, "r", true))
                    .containsExactlyInAnyOrder("10.0.0.1", "10.0.0.2", "10.0.0.4");
            assertThat(peers.fetchers(3, REGIONS, "r", true))
                    .containsExactlyInAnyOrder("10.0.0.1", "10.0.0.3", "10.0.0.4");
        }
    }

    @Nested
    class SilentMembers {
        /** Guards against pieces that wait for an owner which is cut off, as long as the others make progress. */
        @Test
        void areNoFetchersOnceTheyShouldHaveAnnounced() {
            list("10.0.0.1", "10.0.0.2", "10.0.0.3");
            announce("10.0.0.2", 2, 1);

            assertThat(peers.fetchers(2, REGIONS, "r", false)).containsExactlyInAnyOrder("10.0.0.1", "10.0.0.2");
        }
    }

    @Nested
    class PeersWithoutUploadSlot {
        /** Guards against a swarm that leaves each busy peer alone for as long as a failed one. */
        @Test
        void areAskedAgainBeforeFailedOnes() {
            announce("10.0.0.2", 2, 1);
            announce("10.0.0.3", 2, 1);
            peers.markBusy("10.0.0.2");
            peers.markFailed("10.0.0.3");
            time.advance(Duration.ofMillis(150));

            assertThat(peers.holders("m", 2, REGIONS, "r", 1000))
                    .filteredOn(peer -> peer.suspectedUntilMillis() <= 1000)
                    .extracting(FetchView.Peer::instance)
                    .containsExactly("10.0.0.2");
        }
    }

    @Nested
    class Announcements {
        /** Guards against pieces of the older version that are lost from view once the newer one is announced. */
        @Test
        void ofTwoVersionsStandSideBySide() {
            announce("10.0.0.2", 2, 1);
            announce("10.0.0.2", 3, 1);

            assertThat(peers.holders("m", 2, REGIONS, "r", 0)).hasSize(1);
            assertThat(peers.holders("m", 3, REGIONS, "r", 0)).hasSize(1);
        }

        /** Guards against sidecars that announce for ever what they lack of a version which nobody fetches. */
        @Test
        void ofAVersionThatNobodyFetchesAreNotNeeded() {
            announce("10.0.0.2", 2, 1);
            assertThat(peers.anyIncomplete("m", 2, 4)).isTrue();
            announce("10.0.0.2", 3, 1);

            assertThat(peers.anyIncomplete("m", 2, 4)).isFalse();
            assertThat(peers.anyIncomplete("m", 3, 4)).isTrue();
        }

        /** Guards against a half that waits for an engine whose sidecar is gone. */
        @Test
        void ofASidecarThatIsGoneDoNotCount() {
            announce("10.0.0.2", 2, 1);
            time.advance(Duration.ofSeconds(3));

            assertThat(peers.servedVersions(List.of("10.0.0.2"))).isEmpty();
        }
    }
}
