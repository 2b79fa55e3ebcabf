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

    // Guards against a restarted entry that refuses all requests although the older weights may still be used.
    @Test
    void allowOlderVersionsUntilTheBoundOnceAnotherProcessStatesTheAge() {
        versions.addNamedBeforeStart("m", 2);
        assertThat(versions.ageUnknown()).isTrue();
        assertThat(versions.limitAge("m", 2, Duration.ofSeconds(4))).isTrue();
        assertThat(versions.ageUnknown()).isFalse();
        time.advance(Duration.ofMillis(2900));
        assertThat(versions.oldestAllowed("m", BOUND)).hasValue(1);
        time.advance(Duration.ofMillis(100));
        assertThat(versions.oldestAllowed("m", BOUND)).hasValue(2);
    }

    // Guards against weights that are two versions old and served again, because only the newest version is known.
    @Test
    void excludeAllButTheVersionBeforeUnlessItsAgeIsStated() {
        versions.addNamedBeforeStart("m", 3);
        versions.limitAge("m", 3, Duration.ofSeconds(1));
        assertThat(versions.oldestAllowed("m", BOUND)).hasValue(2);
        versions.limitAge("m", 2, Duration.ofSeconds(5));
        assertThat(versions.oldestAllowed("m", BOUND)).hasValue(1);
        time.advance(Duration.ofSeconds(2));
        assertThat(versions.oldestAllowed("m", BOUND)).hasValue(2);
    }

    // Guards against a statement of a process that knows less, which would make a version older or name one.
    @Test
    void ignoreStatementsOfGreaterAgesAndOfUnknownVersions() {
        versions.add("m", 2);
        assertThat(versions.limitAge("m", 2, Duration.ofSeconds(5))).isFalse();
        assertThat(versions.age("m", 2)).isZero();
        assertThat(versions.limitAge("m", 3, Duration.ZERO)).isFalse();
        assertThat(versions.newest("m")).hasValue(2);
    }

    @Test
    void keepTheFirstTimeOfAVersionThatIsNamedAgain() {
        versions.add("m", 2);
        time.advance(Duration.ofSeconds(7));
        assertThat(versions.add("m", 2)).isFalse();
        assertThat(versions.oldestAllowed("m", BOUND)).hasValue(2);
    }
}
