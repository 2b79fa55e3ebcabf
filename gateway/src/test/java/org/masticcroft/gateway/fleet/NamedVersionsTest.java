package org.masticcroft.gateway.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.time.ManualTimeSource;

class NamedVersionsTest {
    private static final Duration BOUND = Duration.ofSeconds(7);

    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final NamedVersions versions = NamedVersions.empty(time);

    @Test
    void allowAnyVersionUntilOneIsNamed() {
        assertThat(versions.oldestAllowed("m", BOUND)).isEmpty();
    }

    // Guards against a request that starts on old weights after the bound within which new weights must be served.
    @Test
    void excludeOlderVersionsAfterTheBound() {
        versions.add("m", 2);
        time.advance(Duration.ofSeconds(6));
        assertThat(versions.oldestAllowed("m", BOUND)).isEmpty();
        time.advance(Duration.ofSeconds(1));
        assertThat(versions.oldestAllowed("m", BOUND)).hasValue(2);
    }

    // Guards against old weights that are served again because the entry was restarted.
    @Test
    void excludeOlderVersionsAtOnceAfterARestart() {
        versions.addNamedBeforeStart("m", 2);
        assertThat(versions.oldestAllowed("m", BOUND)).hasValue(2);
    }

    // Guards against old weights that are served for longer by a process that learned of a version late.
    @Test
    void countTheBoundFromTheEarliestTimeAtWhichAVersionMayHaveBeenNamed() {
        versions.add("m", 2, Duration.ofSeconds(4));
        time.advance(Duration.ofSeconds(3));
        assertThat(versions.oldestAllowed("m", BOUND)).hasValue(2);
    }

    // Guards against a bound that stands still while the machine is suspended.
    @Test
    void countTimeThatTheMonotonicClockDoesNotCount() {
        versions.add("m", 2);
        versions.addElapsed(Duration.ofSeconds(7));
        assertThat(versions.oldestAllowed("m", BOUND)).hasValue(2);
    }

    // Guards against a newer version that restarts the bound of an earlier one.
    @Test
    void applyTheBoundToEachVersionFromItsOwnTime() {
        versions.add("m", 2);
        time.advance(Duration.ofSeconds(4));
        versions.add("m", 3);
        time.advance(Duration.ofSeconds(3));
        assertThat(versions.oldestAllowed("m", BOUND)).hasValue(2);
        time.advance(Duration.ofSeconds(4));
        assertThat(versions.oldestAllowed("m", BOUND)).hasValue(3);
    }

    // Guards against a log that does not show for how long an older version has been outdated.
    @Test
    void stateHowLongAVersionHasBeenOutdated() {
        versions.add("m", 2);
        time.advance(Duration.ofSeconds(4));
        versions.add("m", 3);
        time.advance(Duration.ofSeconds(1));
        assertThat(versions.outdatedFor("m", 1)).contains(Duration.ofSeconds(5));
        assertThat(versions.outdatedFor("m", 2)).contains(Duration.ofSeconds(1));
        assertThat(versions.outdatedFor("m", 3)).isEmpty();
        assertThat(versions.outdatedFor("other", 1)).isEmpty();
    }

    @Test
    void keepTheFirstTimeOfAVersionThatIsNamedAgain() {
        versions.add("m", 2);
        time.advance(Duration.ofSeconds(7));
        assertThat(versions.add("m", 2)).isFalse();
        assertThat(versions.oldestAllowed("m", BOUND)).hasValue(2);
    }
}
