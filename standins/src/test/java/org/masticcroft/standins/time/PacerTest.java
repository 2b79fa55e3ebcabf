package org.masticcroft.standins.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class PacerTest {
    private final AtomicLong nanos = new AtomicLong();
    private final Pacer pacer = Pacer.of(() -> 1_000, nanos::get);

    /** Guards against each stream getting the whole rate of the link. */
    @Test
    void sharesTheRateAmongAllStreams() {
        assertThat(pacer.reserve(100)).isEqualTo(100_000_000L);
        assertThat(pacer.reserve(100)).isEqualTo(200_000_000L);
    }

    /** Guards against unused transmission time that accumulates and allows a burst. */
    @Test
    void unusedTimeDoesNotAllowABurst() {
        pacer.reserve(100);
        nanos.set(5_000_000_000L);
        assertThat(pacer.reserve(100)).isEqualTo(100_000_000L);
    }
}
