package org.masticcroft.gateway.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.kernel.time.ManualTimeSource;

class SubscribersTest {
    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final Subscribers subscribers = new Subscribers(time);

    /** Guards against too large shares after the start of a sidecar, when it has heard of few entries. */
    @Test
    void stateNoNumberUntilAllHaveHadTheTimeToSubscribe() {
        assertThat(subscribers.statedNumber()).isZero();
        subscribers.add(new Address("10.0.0.1", 7700));
        time.advance(Duration.ofMillis(1000));
        subscribers.add(new Address("10.0.0.2", 7700));
        assertThat(subscribers.statedNumber()).isZero();
        time.advance(Duration.ofMillis(1500));
        assertThat(subscribers.statedNumber()).isEqualTo(2);
    }

    /** Guards against entries that have left and are counted for ever. */
    @Test
    void leaveWhenTheyNoLongerSubscribe() {
        subscribers.add(new Address("10.0.0.1", 7700));
        time.advance(Duration.ofMillis(3000));
        subscribers.add(new Address("10.0.0.2", 7700));
        time.advance(Duration.ofMillis(1000));
        subscribers.removeExpired();
        assertThat(subscribers.statedNumber()).isEqualTo(1);
    }
}
