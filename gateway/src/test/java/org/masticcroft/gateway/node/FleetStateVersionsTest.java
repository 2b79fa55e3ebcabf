package org.masticcroft.gateway.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.account.AccountRecorder;
import org.masticcroft.gateway.dispatch.UpstreamTable;
import org.masticcroft.gateway.fleet.Directory;
import org.masticcroft.gateway.fleet.FleetChange;
import org.masticcroft.gateway.fleet.NamedVersions;
import org.masticcroft.gateway.fleet.StoreFreshness;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.loop.InputClock;
import org.masticcroft.kernel.time.ManualTimeSource;

class FleetStateVersionsTest {
    private static final String MODEL = "m";
    private static final Duration PAUSE = Duration.ofSeconds(4);

    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final DecisionLog log = DecisionLog.start(time, new PrintStream(OutputStream.nullOutputStream()));
    private final NamedVersions namedVersions = NamedVersions.empty(time);
    private final FleetState fleet = FleetState.empty(
            time,
            InputClock.immediate(time),
            UpstreamTable.of(log),
            namedVersions,
            StoreFreshness.unconfirmed(time),
            log,
            model -> {},
            AccountRecorder.none());

    @BeforeEach
    void readOperatorDirectory() {
        fleet.snapshot(Directory.OPERATOR, List.of());
        fleet.confirmed(Directory.OPERATOR, time.nanoTime());
    }

    @AfterEach
    void close() {
        log.close();
    }

    private Duration ageOfVersionNamedNow() {
        fleet.changed(Directory.OPERATOR, List.of(new FleetChange.WeightsNamed(MODEL, 2)));
        return namedVersions.age(MODEL, 2);
    }

    @Nested
    class AVersion {
        @Test
        void isNewWithoutAPause() {
            assertThat(ageOfVersionNamedNow()).isZero();
        }

        // Guards against a bound that does not count a freeze in which the version was named.
        @Test
        void isAsOldAsTheFreezeBeforeIt() {
            time.advance(PAUSE);
            assertThat(ageOfVersionNamedNow()).isEqualTo(PAUSE);
        }

        // Guards against a bound that does not count a suspension, during which the monotonic clock stands still.
        @Test
        void isAsOldAsTheSuspensionBeforeIt() {
            time.stepWallClock(PAUSE);
            assertThat(ageOfVersionNamedNow()).isEqualTo(PAUSE);
        }

        // Guards against a bound that starts at the begin of a pause although the store was read since.
        @Test
        void isNoOlderThanTheLastConfirmation() {
            time.advance(PAUSE);
            fleet.checkPauses();
            fleet.confirmed(Directory.OPERATOR, time.nanoTime());
            time.advance(Duration.ofMillis(100));
            assertThat(ageOfVersionNamedNow()).isEqualTo(Duration.ofMillis(100));
        }

        // Guards against a bound that does not count the time for which a read hung, and until it is repeated.
        @Test
        void isAsOldAsTheReadThatFailed() {
            advanceInSteps(10);
            long sentNanos = time.nanoTime();
            advanceInSteps(27);
            fleet.recordsMissedSince(Directory.OPERATOR, sentNanos);
            assertThat(ageOfVersionNamedNow()).isEqualTo(Duration.ofMillis(2700));
        }

        private void advanceInSteps(int steps) {
            for (int i = 0; i < steps; i++) {
                time.advance(Duration.ofMillis(100));
                fleet.checkPauses();
            }
        }
    }
}
