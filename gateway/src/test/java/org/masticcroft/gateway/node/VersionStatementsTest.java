package org.masticcroft.gateway.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.fleet.NamedVersions.VersionAge;
import org.masticcroft.gateway.generated.NamedWeights;
import org.masticcroft.gateway.loop.InputClock;
import org.masticcroft.kernel.time.ManualTimeSource;

class VersionStatementsTest {
    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final VersionStatements statements = new VersionStatements(time, InputClock.immediate(time));

    // Guards against an age that misses the time for which the statement was on its way or was kept.
    @Test
    void growOlder() {
        statements.record(List.of(named(2, Duration.ofSeconds(1))));
        pass(Duration.ofSeconds(3));

        assertThat(agesOf(2))
                .singleElement()
                .satisfies(age -> assertThat(age).isBetween(Duration.ofMillis(6700), Duration.ofMillis(6710)));
    }

    // Guards against an entry that was restarted, whose ignorance replaces what the others know.
    @Test
    void keepTheSmallestAge() {
        statements.record(List.of(named(2, Duration.ofSeconds(1))));
        statements.record(List.of(named(2, Duration.ofHours(1))));
        statements.record(List.of(named(3, Duration.ofHours(1))));

        assertThat(agesOf(2)).hasSize(1);
        assertThat(agesOf(3)).isEmpty();
    }

    // Guards against a sidecar that was frozen and takes a statement for new that waited meanwhile.
    @Test
    void countAPauseOfTheProcess() {
        pass(Duration.ofSeconds(1));
        time.advance(Duration.ofSeconds(5));
        statements.record(List.of(named(2, Duration.ofMillis(1))));

        assertThat(agesOf(2)).singleElement().satisfies(age -> assertThat(age).isGreaterThan(Duration.ofSeconds(5)));
    }

    private void pass(Duration duration) {
        for (long millis = 0; millis < duration.toMillis(); millis += 100) {
            time.advance(Duration.ofMillis(100));
            statements.checkPauses();
        }
    }

    private List<Duration> agesOf(long version) {
        return VersionStatements.decode(statements.reply(1).getAges().getVersionsList()).stream()
                .filter(age -> age.version() == version)
                .map(VersionAge::greatestAge)
                .toList();
    }

    private static NamedWeights named(long version, Duration age) {
        return VersionStatements.encode(new VersionAge("m", version, age));
    }
}
