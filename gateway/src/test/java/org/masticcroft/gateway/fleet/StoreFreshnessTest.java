package org.masticcroft.gateway.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.time.ManualTimeSource;

class StoreFreshnessTest {
    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final StoreFreshness contact = StoreFreshness.unconfirmed(time);

    @Test
    void isVeryOldBeforeTheFirstConfirmation() {
        assertThat(contact.age()).isGreaterThan(Duration.ofHours(1));
    }

    @Test
    void agesOnTheMonotonicClock() {
        contact.confirmedAt(time.nanoTime());
        time.advance(Duration.ofSeconds(2));
        assertThat(contact.detectSuspension()).isFalse();
        assertThat(contact.age()).isEqualTo(Duration.ofSeconds(2));
    }

    // Guards against a removed key that is served after a suspension, which the monotonic clock does not count.
    @Test
    void isVoidAfterASuspension() {
        contact.confirmedAt(time.nanoTime());
        time.stepWallClock(Duration.ofSeconds(6));
        assertThat(contact.detectSuspension()).isTrue();
        assertThat(contact.age()).isGreaterThan(Duration.ofHours(1));
    }

    @Test
    void staysValidWhenTheWallClockIsSetBack() {
        contact.confirmedAt(time.nanoTime());
        time.stepWallClock(Duration.ofSeconds(-6));
        assertThat(contact.detectSuspension()).isFalse();
        assertThat(contact.age()).isZero();
    }

    @Test
    void doesNotGoBackToAnOlderConfirmation() {
        time.advance(Duration.ofSeconds(5));
        contact.confirmedAt(time.nanoTime());
        contact.confirmedAt(time.nanoTime() - Duration.ofSeconds(3).toNanos());
        assertThat(contact.age()).isZero();
    }
}
