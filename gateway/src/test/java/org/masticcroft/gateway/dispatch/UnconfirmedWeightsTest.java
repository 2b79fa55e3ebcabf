package org.masticcroft.gateway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.load.LoadReport;

/** The list and the responses of an engine state which version it has loaded, but not whether it did so soundly. */
class UnconfirmedWeightsTest {
    private static UpstreamListing listing(long version) {
        return new UpstreamListing(
                "e1", "s", new Address("10.0.0.1", 80), "z1", 16, false, 1, 1, OptionalLong.of(version));
    }

    private static LoadReport loading() {
        return new LoadReport(1, 0, 0, true, false, OptionalLong.empty(), 1);
    }

    private static LoadReport serving(long version) {
        return new LoadReport(1, 0, 0, false, false, OptionalLong.of(version), 1);
    }

    private static long at(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    /** Returns whether requests for a version may be sent, by the conditions of the choice of an upstream. */
    private static boolean maySend(Upstream upstream, long version, long nowNanos) {
        return upstream.acceptsRequests(nowNanos)
                && !upstream.loading()
                && upstream.servedVersion().equals(OptionalLong.of(version));
    }

    @Nested
    class AReportOfALoad {
        /** Guards against requests to an engine whose sidecar stops for good, or for longer than the report counts. */
        @Test
        void isNotOverruledByTheListOnceItIsOld() {
            Upstream upstream = Upstream.of(listing(1), 0);
            upstream.applyReport(loading(), at(0));
            upstream.updateListing(listing(2));
            assertThat(maySend(upstream, 2, at(6001))).isFalse();
        }
    }

    @Nested
    class AReportOfTheVersionBefore {
        /** Guards against requests to an engine that loads while its sidecar's reports are lost or wait. */
        @Test
        void isNotOverruledByTheListAfterAShortSilence() {
            Upstream upstream = Upstream.of(listing(1), 0);
            upstream.applyReport(serving(1), at(0));
            upstream.updateListing(listing(2));
            assertThat(maySend(upstream, 2, at(1100))).isFalse();
        }

        /** Guards against requests to an engine whose refusal states the new version, while one report is lost. */
        @Test
        void isNotOverruledByAResponse() {
            Upstream upstream = Upstream.of(listing(1), 0);
            upstream.applyReport(serving(1), at(0));
            upstream.updateServedVersion(OptionalLong.of(2));
            assertThat(maySend(upstream, 2, at(300))).isFalse();
        }
    }

    @Nested
    class AnEntryThatHasJustStarted {
        /** Guards against requests to an engine of which only the list is known yet. */
        @Test
        @Tag("known-red")
        void sendsNothingBeforeTheFirstReport() {
            assertThat(maySend(Upstream.of(listing(2), 0), 2, at(0))).isFalse();
        }
    }
}
