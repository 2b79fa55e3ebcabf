package org.masticcroft.gateway.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.config.CallerBudgets;
import org.masticcroft.gateway.fleet.FleetChange;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.generated.HeldPieces;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.node.NodeSettings;
import org.masticcroft.kernel.time.ManualTimeSource;

class RegionTurnsTest {
    private static final String MODEL = "m";
    private static final Duration BOUND = Duration.ofSeconds(8);
    private static final String OTHER_IP = "10.0.0.1";
    private static final String OWN_IP = "10.0.0.2";

    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final DecisionLog log = DecisionLog.start(time, new PrintStream(OutputStream.nullOutputStream()));
    private final Peers peers = Peers.of(time, OWN_IP);
    private final RegionTurns turns = new RegionTurns(settings(), peers, time, log);

    private static NodeSettings settings() {
        return new NodeSettings(
                "test",
                OWN_IP,
                "z",
                Map.of("z", "r"),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                7700,
                100,
                new Address("127.0.0.1", 1),
                Optional.empty(),
                new NodeSettings.Bounds(
                        Duration.ofSeconds(5), BOUND, Duration.ofSeconds(8), 0.2, Duration.ofSeconds(10)),
                CallerBudgets.ofProcess());
    }

    @AfterEach
    void close() {
        log.close();
    }

    /** Returns whether this engine, of the second half, may load while the first half still serves the old version. */
    private boolean mayLoadBeforeTheFirstHalf() {
        peers.applyUpstreams(
                List.of(new FleetChange.UpstreamListed(new UpstreamListing(
                        "e1", "s", new Address(OTHER_IP, 80), "z", 4, false, 1, 1, OptionalLong.of(1)))),
                "s");
        peers.recordAnnouncement(
                new Address(OTHER_IP, 7700),
                HeldPieces.newBuilder()
                        .setModel(MODEL)
                        .setVersion(2)
                        .setServedVersion(1)
                        .build());
        return turns.mayLoad(MODEL, 1, 2);
    }

    @Nested
    class TheSecondHalf {
        @Test
        void waitsForTheFirstWhileTheOldVersionIsUsed() {
            turns.recordNamedVersion(MODEL, 2);
            assertThat(mayLoadBeforeTheFirstHalf()).isFalse();
        }

        // Guards against an engine that waits for its turn with weights that entries no longer use, because its sidecar
        // was frozen when the newer version was named.
        @Test
        void loadsAtOnceAfterAFreezeBeyondTheBound() {
            time.advance(BOUND);
            turns.recordNamedVersion(MODEL, 2);
            assertThat(mayLoadBeforeTheFirstHalf()).isTrue();
        }

        // Guards against the same after a suspension, which the monotonic clock does not count.
        @Test
        void loadsAtOnceAfterASuspensionBeyondTheBound() {
            turns.recordNamedVersion(MODEL, 2);
            time.stepWallClock(BOUND);
            turns.checkPauses();
            assertThat(mayLoadBeforeTheFirstHalf()).isTrue();
        }
    }
}
