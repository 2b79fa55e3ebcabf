package org.masticcroft.gateway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.config.AllowedRegions;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.fleet.Evacuations;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.time.ManualTimeSource;

/** Pattern: one upstream with a single slot in each of two data centres, z1 in region r1 and z2 in region r2. */
class PlacementRulesTest {
    private static final Optional<EngineProfile> PROFILE = Optional.of(new EngineProfile("m", 5, 9, 0.04, 19));

    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final DecisionLog log = DecisionLog.start(time, new PrintStream(OutputStream.nullOutputStream()));
    private final UpstreamTable table = UpstreamTable.of(log);
    private final Evacuations evacuations = Evacuations.none();
    private final UpstreamChooser chooser = UpstreamChooser.of(
            "z1",
            PlacementRules.of(
                    EvacuatedDataCentres.of(evacuations),
                    AllowedRegionsRule.of(zone -> Map.of("z1", "r1", "z2", "r2").get(zone))));
    private final ServiceQueue queue = ServiceQueue.of("s", time, table, chooser, log);

    PlacementRulesTest() {
        list("e1", "z1");
        list("e2", "z2");
    }

    @AfterEach
    void closeLog() {
        log.close();
    }

    private void list(String id, String zone) {
        Address address = new Address("10.0.0." + id.substring(1), 80);
        table.put(new UpstreamListing(id, "s", address, zone, 1, false, 1, 1, OptionalLong.of(1)), time.nanoTime());
    }

    private FakeRequest request(String id, String... regions) {
        FakeRequest request =
                new FakeRequest(id, new Rank(1, 1), time.nanoTime(), Duration.ofMillis(400), Duration.ofSeconds(6));
        request.allowedRegions = AllowedRegions.of(List.of(regions));
        return request;
    }

    private FakeRequest add(FakeRequest request) {
        queue.add(request, PROFILE, VersionLimit.none());
        return request;
    }

    private static String upstream(FakeRequest request) {
        return request.choice.map(choice -> choice.upstream().id()).orElse("none");
    }

    @Nested
    class AnEvacuation {
        @Test
        void sendsRequestsToOtherDataCentres() {
            evacuations.request("z1", time.nanoTime());
            assertThat(upstream(add(request("a")))).isEqualTo("e2");
        }

        /** Guards against requests that wait until their callers have left although nothing may serve them. */
        @Test
        void refusesAtOnceWhatWaitsForNoOtherDataCentre() {
            add(request("running", "r1"));
            FakeRequest waiting = add(request("waiting", "r1"));
            assertThat(waiting.refusal).isEmpty();

            evacuations.request("z1", time.nanoTime());
            queue.dispatchWaiting(PROFILE, VersionLimit.none());
            assertThat(waiting.refusal.orElseThrow().retryAfter()).isPositive();
            assertThat(add(request("later", "r1")).refusal).isPresent();
        }

        /** Guards against a send to an upstream that was chosen before the evacuation was read. */
        @Test
        void isKnownBetweenTheChoiceAndTheSend() {
            FakeRequest chosen = add(request("chosen", "r1"));
            Upstream upstream = chosen.choice.orElseThrow().upstream();
            assertThat(chooser.allows(chosen, upstream, time.nanoTime())).isTrue();
            evacuations.request("z1", time.nanoTime());
            assertThat(chooser.allows(chosen, upstream, time.nanoTime())).isFalse();
        }

        /** Guards against a response of a failed upstream that is held back for a retry that cannot happen. */
        @Test
        void leavesNoUntriedUpstream() {
            FakeRequest tried = request("tried");
            tried.triedUpstreams().add("e2");
            assertThat(chooser.anyUntried(tried, table.listed(), time.nanoTime()))
                    .isTrue();
            evacuations.request("z1", time.nanoTime());
            assertThat(chooser.anyUntried(tried, table.listed(), time.nanoTime()))
                    .isFalse();
        }
    }

    @Nested
    class ARestrictedRequest {
        @Test
        void isSentToItsRegionOnly() {
            assertThat(upstream(add(request("a", "r2")))).isEqualTo("e2");
            FakeRequest none = add(request("b", "r3"));
            assertThat(none.choice).isEmpty();
            assertThat(none.refusal).isPresent();
        }

        /** Guards against requests that wait behind one whose region is full, while their own has room. */
        @Test
        void doesNotBlockTheRequestsBehindIt() {
            add(request("running", "r1"));
            assertThat(upstream(add(request("waiting", "r1")))).isEqualTo("none");
            assertThat(upstream(add(request("behind")))).isEqualTo("e2");
        }

        /** Guards against a retry that leaves the region because the upstream of the region was tried. */
        @Test
        void staysInItsRegionOnARetry() {
            FakeRequest retry = request("retry", "r1");
            retry.alreadySent = true;
            retry.triedUpstreams().add("e1");
            add(retry);
            assertThat(retry.choice).isEmpty();
        }
    }
}
