package org.masticcroft.gateway.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.time.ManualTimeSource;

class StoreFreshnessTest {
    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final StoreFreshness freshness = StoreFreshness.unconfirmed(time);

    @Test
    void isVeryOldBeforeTheFirstConfirmation() {
        assertThat(freshness.age()).isGreaterThan(Duration.ofHours(1));
    }

    @Test
    void agesOnTheMonotonicClock() {
        freshness.confirmedAt(time.nanoTime());
        time.advance(Duration.ofSeconds(2));
        assertThat(freshness.detectSuspension()).isFalse();
        assertThat(freshness.age()).isEqualTo(Duration.ofSeconds(2));
    }

    // Guards against a removed key that is still accepted after a suspension of the machine, because the monotonic
    // clock does not count that time.
    @Test
    void isVoidAfterASuspension() {
        freshness.confirmedAt(time.nanoTime());
        time.stepWallClock(Duration.ofSeconds(6));
        assertThat(freshness.detectSuspension()).isTrue();
        assertThat(freshness.age()).isGreaterThan(Duration.ofHours(1));
    }

    // Guards against a record that counts as fresh because it is received before the next check for a suspension.
    @Test
    void isVoidAfterASuspensionThatWasNotCheckedForYet() {
        freshness.confirmedAt(time.nanoTime());
        time.stepWallClock(Duration.ofSeconds(6));
        assertThat(freshness.age()).isGreaterThan(Duration.ofHours(1));
        assertThat(freshness.detectSuspension()).isTrue();
    }

    @Test
    void staysValidWhenTheWallClockIsSetBack() {
        freshness.confirmedAt(time.nanoTime());
        time.stepWallClock(Duration.ofSeconds(-6));
        assertThat(freshness.detectSuspension()).isFalse();
        assertThat(freshness.age()).isZero();
    }

    @Test
    void doesNotGoBackToAnOlderConfirmation() {
        time.advance(Duration.ofSeconds(5));
        freshness.confirmedAt(time.nanoTime());
        freshness.confirmedAt(time.nanoTime() - Duration.ofSeconds(3).toNanos());
        assertThat(freshness.age()).isZero();
    }
}
