package org.masticcroft.gateway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.load.LoadReport;

class UpstreamTest {
    private final Upstream upstream = Upstream.of(
            new UpstreamListing("e1", "s", new Address("10.0.0.1", 80), "z1", 16, false, 1, OptionalLong.of(1)), 0);

    // Guards against requests that go round among engines which refuse them while they load.
    @Test
    void isAvoidedLongerWithEachRefusalUntilItTakesARequest() {
        Duration pause = Duration.ofMillis(60);
        upstream.refused(0, pause);
        assertThat(upstream.acceptsRequests(pause.toNanos())).isTrue();
        upstream.refused(0, pause);
        assertThat(upstream.acceptsRequests(pause.toNanos())).isFalse();
        assertThat(upstream.acceptsRequests(2 * pause.toNanos())).isTrue();
        upstream.took();
        upstream.refused(0, pause);
        assertThat(upstream.acceptsRequests(pause.toNanos())).isTrue();
    }

    // Guards against an engine that is taken as dead while it reads the prompts of a burst.
    @Test
    void isSeenAliveWhileItsSidecarReports() {
        assertThat(upstream.seenAlive(0)).isFalse();
        upstream.applyReport(new LoadReport(1, 16, 0, false, OptionalLong.of(1)), 0);
        assertThat(upstream.seenAlive(Duration.ofMillis(900).toNanos())).isTrue();
        assertThat(upstream.seenAlive(Duration.ofMillis(1100).toNanos())).isFalse();
    }
}
