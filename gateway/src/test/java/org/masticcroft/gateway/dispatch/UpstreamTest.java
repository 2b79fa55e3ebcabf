package org.masticcroft.gateway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.load.LoadReport;

class UpstreamTest {
    private final Upstream upstream = Upstream.of(
            new UpstreamListing("e1", "s", new Address("10.0.0.1", 80), "z1", 16, false, 1, 1, OptionalLong.of(1)), 0);

    // Guards against requests during a pause that the upstream asked for, which later refusals or pauses cut short.
    @Test
    void getsNoRequestsUntilTheLatestEndOfItsPauses() {
        upstream.recordPause(0, Duration.ofSeconds(3));
        upstream.recordPause(0, Duration.ofSeconds(1));
        upstream.recordRefusal(0, Duration.ofMillis(60));
        assertThat(upstream.acceptsRequests(Duration.ofMillis(2999).toNanos())).isFalse();
        assertThat(upstream.acceptsRequests(Duration.ofSeconds(3).toNanos())).isTrue();
    }

    // Guards against an upstream that gets requests although its responses say that it leaves, because its listing is
    // updated late.
    @Test
    void getsNoRequestsOnceItSaysThatItLeaves() {
        assertThat(upstream.recordLeaving()).isTrue();
        assertThat(upstream.recordLeaving()).isFalse();
        upstream.updateListing(upstream.listing());
        assertThat(upstream.acceptsRequests(0)).isFalse();
    }

    // Guards against an upstream that is not used any more although it is listed again.
    @Test
    void getsRequestsWhenItIsListedAgainAfterItLeft() {
        upstream.recordLeaving();
        upstream.remove(0);
        upstream.updateListing(upstream.listing());
        assertThat(upstream.acceptsRequests(0)).isTrue();
    }

    // Guards against requests that circulate among engines that refuse them while they load weights.
    @Test
    void doublesThePauseWithEachRefusalUntilItAcceptsARequest() {
        Duration pause = Duration.ofMillis(60);
        upstream.recordRefusal(0, pause);
        assertThat(upstream.acceptsRequests(pause.toNanos())).isTrue();
        upstream.recordRefusal(0, pause);
        assertThat(upstream.acceptsRequests(pause.toNanos())).isFalse();
        assertThat(upstream.acceptsRequests(2 * pause.toNanos())).isTrue();
        upstream.recordAcceptance();
        upstream.recordRefusal(0, pause);
        assertThat(upstream.acceptsRequests(pause.toNanos())).isTrue();
    }

    // Guards against a sound upstream that gets no requests after a burst of connections that its accept queue dropped.
    @Test
    void getsRequestsAlthoughConnectionsTimeOutWhileItServesOthers() {
        long startNanos = Duration.ofMillis(100).toNanos();
        long endNanos = Duration.ofMillis(600).toNanos();
        upstream.recordSuccess(Duration.ofMillis(300).toNanos());
        for (int i = 0; i < 20; i++) {
            upstream.recordConnectFailure(startNanos, endNanos);
        }
        assertThat(upstream.acceptsRequests(endNanos)).isTrue();
    }

    // Guards against an upstream that gets requests although none of its connections can be established any more.
    @Test
    void getsNoRequestsIfConnectionsFailThatBeganAfterItsLastResponse() {
        upstream.recordSuccess(0);
        for (int i = 0; i < 20; i++) {
            upstream.recordConnectFailure(1, 2);
        }
        assertThat(upstream.acceptsRequests(2)).isFalse();
    }

    // Guards against an engine that is considered dead while it prefills the prompts of a burst and sends nothing.
    @Test
    void isAliveWhileItsSidecarReports() {
        assertThat(upstream.reportedAlive(0)).isFalse();
        upstream.applyReport(new LoadReport(1, 16, 0, false, false, OptionalLong.of(1), 1), 0);
        assertThat(upstream.reportedAlive(Duration.ofMillis(900).toNanos())).isTrue();
        assertThat(upstream.reportedAlive(Duration.ofMillis(1100).toNanos())).isFalse();
    }

    // Guards against requests that a slow engine begins after the bound on its weights, because they are withdrawn as
    // late as from a fast one once its sidecar no longer reports.
    @Test
    void isWithdrawnFromAsEarlyWhenItsReportsEnd() {
        EngineProfile profile = new EngineProfile("m", 5, 9, 0.04, 19);
        UpstreamChooser chooser = UpstreamChooser.of("z1");
        upstream.applyReport(new LoadReport(1, 0, 0, false, false, OptionalLong.of(1), 8), 0);
        Duration reported = chooser.withdrawalLead(upstream, profile, 0);
        long afterReports = Duration.ofSeconds(3).toNanos();
        assertThat(upstream.pace(afterReports)).isEqualTo(1);
        assertThat(chooser.withdrawalLead(upstream, profile, afterReports))
                .isEqualTo(reported)
                .isGreaterThan(Duration.ofMillis(900));
    }

    // Guards against sends to an engine that has become slow or has stalled, although nothing else shows it.
    @Test
    void statesTheLongestRecentWaitForAFirstByte() {
        long second = Duration.ofSeconds(1).toNanos();
        upstream.recordSend(10, 0);
        upstream.recordSend(10, second / 2);
        assertThat(upstream.longestRecentWait(second)).isEqualTo(Duration.ofSeconds(1));
        upstream.recordFirstByte(10, 0, second);
        assertThat(upstream.longestRecentWait(second)).isEqualTo(Duration.ofSeconds(1));
        upstream.recordNoFirstByte(10, second / 2);
        assertThat(upstream.longestRecentWait(3 * second)).isEqualTo(Duration.ofSeconds(1));
        assertThat(upstream.longestRecentWait(9 * second)).isZero();
    }
}
