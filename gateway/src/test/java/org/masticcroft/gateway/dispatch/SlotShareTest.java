package org.masticcroft.gateway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.load.LoadReport;

/** Load: many entries with waiting requests learn at the same moment that an engine has free slots. */
class SlotShareTest {
    private static final int SLOTS = 12;
    private static final EngineProfile PROFILE = new EngineProfile("m", 7, 7.4, 0.04, 32);

    private static UpstreamListing listing() {
        return new UpstreamListing(
                "e1", "s", new Address("10.0.0.1", 80), "z1", SLOTS, false, 1, 1, OptionalLong.of(1));
    }

    private static FakeRequest request() {
        return new FakeRequest("r", new Rank(1, 1), 0, Duration.ofMillis(400), Duration.ofSeconds(6));
    }

    /** Returns how many requests an entry sends until the next report. */
    private static int sends(int entry, Upstream upstream, long nowNanos) {
        return sends(entry, upstream, nowNanos, 0);
    }

    private static int sends(int entry, Upstream upstream, long nowNanos, int promptTokens) {
        SlotShare rule = SlotShare.of("10.0.1." + entry, service -> Optional.of(PROFILE), nanos -> upstream.entries());
        FakeRequest request = request();
        request.promptTokens = promptTokens;
        int sent = 0;
        while (sent < 2 * SLOTS && rule.check(request, upstream, nowNanos) == PlacementDecision.ALLOWED) {
            upstream.recordSend(0, nowNanos);
            sent++;
        }
        return sent;
    }

    private static List<Upstream> views(int entries, int running) {
        List<Upstream> views = new ArrayList<>();
        for (int entry = 0; entry < entries; entry++) {
            Upstream upstream = Upstream.of(listing(), 0);
            upstream.applyReport(
                    new LoadReport(1, running, 0, false, false, OptionalLong.of(1), 1, entries, 0), 1_000L + entry);
            views.add(upstream);
        }
        return views;
    }

    private static int sendsOfAll(int entries, int running) {
        List<Upstream> views = views(entries, running);
        int sum = 0;
        for (int entry = 0; entry < entries; entry++) {
            sum += sends(entry, views.get(entry), 2_000);
        }
        return sum;
    }

    @Nested
    class AnEngineThatHasJustLoaded {
        /** Guards against a queue in the engine that is as long as if each entry had it for itself. */
        @Test
        void getsLittleMoreThanItsSlots() {
            assertThat(sendsOfAll(20, 0)).isBetween(SLOTS / 2, 2 * SLOTS);
        }

        /** Guards against prompts that delay each other's first bytes because they fill all slots at once. */
        @Test
        void getsNoMorePromptsThanItPrefillsSoon() {
            int promptTokens = 960;
            List<Upstream> views = views(20, 0);
            int sent = 0;
            for (int entry = 0; entry < views.size(); entry++) {
                sent += sends(entry, views.get(entry), 2_000, promptTokens);
            }

            assertThat(sent * PROFILE.prefillMillis(promptTokens)).isBetween(60.0, 400.0);
        }
    }

    @Nested
    class AnEngineWithOneFreeSlot {
        /** Guards against one request of each entry for the same slot. */
        @Test
        void getsFewRequests() {
            assertThat(sendsOfAll(20, SLOTS - 1)).isLessThan(6);
        }
    }

    @Nested
    class AFullEngine {
        /** Guards against slots that stay free until the next report. */
        @Test
        void getsRequestsInPlaceOfCompletedOnes() {
            Upstream upstream = views(20, SLOTS).get(0);
            for (int request = 0; request < 4; request++) {
                upstream.recordSend(0, 1_500);
            }
            upstream.applyReport(new LoadReport(1, SLOTS, 0, false, false, OptionalLong.of(1), 1, 20, 0), 1_800);
            assertThat(sends(0, upstream, 2_000)).isZero();

            for (int request = 0; request < 4; request++) {
                upstream.recordEnd();
            }

            assertThat(sends(0, upstream, 2_000)).isBetween(3, 4);
        }
    }

    @Nested
    class AnEngineThatFewEntriesKnow {
        /** Guards against a new engine that is filled at once because some entries could not read the list yet. */
        @Test
        void isSharedByAllEntriesOfTheFleet() {
            Upstream upstream = views(10, 0).get(0);
            SlotShare rule = SlotShare.of("10.0.1.1", service -> Optional.empty(), nanos -> OptionalInt.of(16));
            int sent = 0;
            while (sent < SLOTS && rule.check(request(), upstream, 2_000) == PlacementDecision.ALLOWED) {
                upstream.recordSend(0, 2_000);
                sent++;
            }

            assertThat(sent).isLessThan(3);
        }
    }

    @Nested
    class FewEntries {
        /** Guards against slots that stay free although few entries can hardly exceed them. */
        @Test
        void areNotRestricted() {
            assertThat(sends(0, views(4, 0).get(0), 2_000)).isEqualTo(2 * SLOTS);
        }
    }
}
