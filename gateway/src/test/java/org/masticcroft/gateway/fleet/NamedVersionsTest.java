package org.masticcroft.gateway.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.time.ManualTimeSource;

class NamedVersionsTest {
    private static final Duration BOUND = Duration.ofSeconds(7);

    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final NamedVersions weights = NamedVersions.empty(time);

    @Test
    void allowAnyVersionUntilOneIsNamed() {
        assertThat(weights.oldestAllowed("m", BOUND)).isEmpty();
    }

    // Guards against a request that begins on old weights after the time in which new ones must serve.
    @Test
    void excludeOlderVersionsAfterTheBound() {
        weights.add("m", 2);
        time.advance(Duration.ofSeconds(6));
        assertThat(weights.oldestAllowed("m", BOUND)).isEmpty();
        time.advance(Duration.ofSeconds(1));
        assertThat(weights.oldestAllowed("m", BOUND)).hasValue(2);
    }

    // Guards against old weights that serve again because the entry was restarted.
    @Test
    void excludeOlderVersionsAtOnceAfterAStart() {
        weights.addNamedBeforeStart("m", 2);
        assertThat(weights.oldestAllowed("m", BOUND)).hasValue(2);
    }

    // Guards against a later version that restarts the time of an earlier one.
    @Test
    void judgeEachVersionFromItsOwnTime() {
        weights.add("m", 2);
        time.advance(Duration.ofSeconds(4));
        weights.add("m", 3);
        time.advance(Duration.ofSeconds(3));
        assertThat(weights.oldestAllowed("m", BOUND)).hasValue(2);
        time.advance(Duration.ofSeconds(4));
        assertThat(weights.oldestAllowed("m", BOUND)).hasValue(3);
    }

    @Test
    void keepTheFirstTimeOfAVersionThatIsNamedAgain() {
        weights.add("m", 2);
        time.advance(Duration.ofSeconds(7));
        assertThat(weights.add("m", 2)).isFalse();
        assertThat(weights.oldestAllowed("m", BOUND)).hasValue(2);
    }
}
