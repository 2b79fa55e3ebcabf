package org.masticcroft.gateway.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.time.ManualTimeSource;

class LoadTurnTest {
    private static final Duration BOUND = Duration.ofSeconds(8);

    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final LoadTurn first = new LoadTurn(time, "10.0.0.1", BOUND);
    private final LoadTurn second = new LoadTurn(time, "10.0.0.2", BOUND);
    private final List<String> ofFirst = List.of("10.0.0.2", "10.0.0.3");
    private final List<String> ofSecond = List.of("10.0.0.1", "10.0.0.3");

    private void nameAndFetch(Duration fetch) {
        first.named();
        second.named();
        time.advance(fetch);
    }

    // Guards against a moment in which every engine of the fleet accepts nothing.
    @Test
    void letsHalfOfTheMachinesLoadBeforeTheOthers() {
        nameAndFetch(Duration.ofSeconds(4));
        assertThat(first.has(true, ofFirst)).isTrue();
        assertThat(second.has(true, ofSecond)).isFalse();
        time.advance(Duration.ofMillis(1700));
        assertThat(second.has(true, ofSecond)).isTrue();
    }

    // Guards against an engine that waits for its turn although its weights must not serve any more.
    @Test
    void endsBeforeTheOlderWeightsHaveToStop() {
        nameAndFetch(Duration.ofMillis(6700));
        assertThat(second.has(true, ofSecond)).isFalse();
        time.advance(Duration.ofMillis(100));
        assertThat(second.has(true, ofSecond)).isTrue();
    }

    @Test
    void isNotAwaitedByAnEngineThatServesNothing() {
        nameAndFetch(Duration.ofSeconds(1));
        assertThat(second.has(false, ofSecond)).isTrue();
    }
}
