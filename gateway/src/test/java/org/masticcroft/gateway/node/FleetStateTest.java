package org.masticcroft.gateway.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.account.AccountRecorder;
import org.masticcroft.gateway.config.CallerLimits;
import org.masticcroft.gateway.config.ColdLimits;
import org.masticcroft.gateway.config.GatewayConfig;
import org.masticcroft.gateway.config.UpstreamService;
import org.masticcroft.gateway.dispatch.Upstream;
import org.masticcroft.gateway.dispatch.UpstreamTable;
import org.masticcroft.gateway.fleet.Directory;
import org.masticcroft.gateway.fleet.FleetChange;
import org.masticcroft.gateway.fleet.NamedVersions;
import org.masticcroft.gateway.fleet.StoreFreshness;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.loop.InputClock;
import org.masticcroft.kernel.time.ManualTimeSource;

class FleetStateTest {
    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final DecisionLog log = DecisionLog.start(time, new PrintStream(OutputStream.nullOutputStream()));
    private final UpstreamTable table = UpstreamTable.of(log);
    private final NamedVersions named = NamedVersions.empty(time);
    private final FleetState fleet = FleetState.empty(
            time,
            InputClock.immediate(time),
            table,
            named,
            StoreFreshness.unconfirmed(time),
            log,
            model -> {},
            AccountRecorder.none());

    @AfterEach
    void close() {
        log.close();
    }

    private static FleetChange listed(String id) {
        return new FleetChange.UpstreamListed(
                new UpstreamListing(id, "s", new Address("10.0.0.1", 80), "z", 4, false, 1, 1, OptionalLong.empty()));
    }

    private static FleetChange listed(String id, long startMillis, long sequence, boolean leaving) {
        return new FleetChange.UpstreamListed(new UpstreamListing(
                id, "s", new Address("10.0.0.1", 80), "z", 4, leaving, startMillis, sequence, OptionalLong.empty()));
    }

    private static FleetChange unreadable(String id) {
        return new FleetChange.Unreadable(id, "not an entry");
    }

    private static FleetChange listed(String id, long startMillis, Duration coldRemaining) {
        return new FleetChange.UpstreamListed(new UpstreamListing(
                id,
                "s",
                new Address("10.0.0.1", 80),
                "z",
                4,
                false,
                startMillis,
                1,
                OptionalLong.empty(),
                coldRemaining));
    }

    private static FleetChange coldFor(Duration coldTime) {
        UpstreamService service =
                new UpstreamService("s", Optional.empty(), Optional.empty(), "", 0, new ColdLimits(coldTime, 26));
        return new FleetChange.ConfigPublished(
                GatewayConfig.of(1, List.of(), List.of(service), Optional.empty(), CallerLimits.defaults()));
    }

    /** Upstreams of a service in which they are cold for three seconds after their start. */
    @Nested
    class AColdUpstream {
        private List<String> cold() {
            return table.listed().stream()
                    .filter(upstream -> upstream.cold(time.nanoTime()))
                    .map(Upstream::id)
                    .sorted()
                    .toList();
        }

        /** Guards against a fleet that looks cold to each entry that starts. */
        @Test
        void isOneThatStatesItAtTheFirstRead() {
            fleet.snapshot(Directory.OPERATOR, List.of(coldFor(Duration.ofSeconds(3))));
            fleet.snapshot(
                    Directory.UPSTREAMS,
                    List.of(listed("a", 1, Duration.ZERO), listed("b", 1, Duration.ofMillis(800))));
            assertThat(cold()).containsExactly("b");
            time.advance(Duration.ofMillis(800));
            assertThat(cold()).isEmpty();
        }

        /** Guards against a burst to an upstream that has just started, whatever its lagging entry states. */
        @Test
        void isOneThatAppearsOrRestartsLater() {
            fleet.snapshot(Directory.OPERATOR, List.of(coldFor(Duration.ofSeconds(3))));
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("a", 1, Duration.ZERO), listed("b", 1, Duration.ZERO)));
            fleet.changed(Directory.UPSTREAMS, List.of(listed("b", 2, Duration.ZERO), listed("c", 1, Duration.ZERO)));
            time.advance(Duration.ofMillis(2999));
            assertThat(cold()).containsExactly("b", "c");
            time.advance(Duration.ofMillis(1));
            assertThat(cold()).isEmpty();
        }

        /** Guards against a later entry that ends the time, and against one that turns cold again unnoticed. */
        @Test
        void staysColdForTheLongestTimeStated() {
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("a", 1, Duration.ofMillis(500))));
            fleet.changed(Directory.UPSTREAMS, List.of(listed("a", 1, Duration.ZERO)));
            assertThat(cold()).containsExactly("a");
            time.advance(Duration.ofMillis(600));
            fleet.changed(Directory.UPSTREAMS, List.of(listed("a", 1, Duration.ofMillis(3000))));
            time.advance(Duration.ofMillis(2500));
            assertThat(cold()).containsExactly("a");
        }
    }

    private List<String> ids() {
        return table.listed().stream().map(Upstream::id).sorted().toList();
    }

    /** Pattern: another writer overwrites the entry of an upstream. */
    @Nested
    class AnUnreadableEntry {
        /** Guards against requests to an upstream that the list names no more. */
        @Test
        void endsTheUseOfItsUpstreamAlone() {
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("a"), listed("b")));
            fleet.changed(Directory.UPSTREAMS, List.of(unreadable("a"), unreadable("c")));

            assertThat(ids()).containsExactly("b");
        }

        /** Guards against an upstream that stays unused although it has written its entry again. */
        @Test
        void isReplacedByTheNextSoundOne() {
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("a")));
            fleet.changed(Directory.UPSTREAMS, List.of(unreadable("a"), listed("a")));

            assertThat(ids()).containsExactly("a");
        }

        /** Guards against an upstream that is kept because the store was down shortly before. */
        @Test
        void takesEffectAtOnceWhileRemovalsAreDeferred() {
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("a"), listed("b")));
            fleet.storeRecovered(Directory.UPSTREAMS);
            fleet.snapshot(Directory.UPSTREAMS, List.of(unreadable("a"), listed("b")));

            assertThat(ids()).containsExactly("b");
        }

        /** Guards against a record of the operator that ends the use of an upstream by its key. */
        @Test
        void isOfTheListOfUpstreams() {
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("config")));
            fleet.changed(Directory.OPERATOR, List.of(unreadable("config")));

            assertThat(ids()).containsExactly("config");
        }
    }

    /** Pattern: the operator evacuates a data centre while the store comes and goes. */
    @Nested
    class AnEvacuation {
        private static final FleetChange REQUESTED = new FleetChange.EvacuationRequested("z");

        @Test
        void isInForceUntilItIsRevoked() {
            fleet.changed(Directory.OPERATOR, List.of(REQUESTED));
            assertThat(fleet.evacuations().inForce("z")).isTrue();

            fleet.changed(Directory.OPERATOR, List.of(new FleetChange.EvacuationRevoked("z")));
            assertThat(fleet.evacuations().inForce("z")).isFalse();
            assertThat(fleet.evacuations().revokedNanos("z")).hasValue(time.nanoTime());
        }

        /** Guards against an evacuation that outlasts its record, because the deletion was not read. */
        @Test
        void endsWithAFullReadThatLacksItsRecord() {
            fleet.snapshot(Directory.OPERATOR, List.of(REQUESTED, new FleetChange.EvacuationRequested("y")));
            fleet.snapshot(Directory.OPERATOR, List.of(REQUESTED));

            assertThat(fleet.evacuations().inForce("z")).isTrue();
            assertThat(fleet.evacuations().inForce("y")).isFalse();
        }

        /** Guards against a list of upstreams, or an outage of the store, that ends an evacuation. */
        @Test
        void outlastsReadsOfTheOtherDirectoryAndOutages() {
            fleet.snapshot(Directory.OPERATOR, List.of(REQUESTED));
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("a")));
            fleet.storeRecovered(Directory.OPERATOR);
            fleet.changed(Directory.OPERATOR, List.of());

            assertThat(fleet.evacuations().inForce("z")).isTrue();
        }
    }

    /** Pattern: the store comes back from a copy that is some seconds old. */
    @Nested
    class ARestore {
        private void restore(FleetChange... copy) {
            fleet.storeRestored(Directory.UPSTREAMS);
            fleet.snapshot(Directory.UPSTREAMS, List.of(copy));
        }

        private List<String> usable() {
            return table.listed().stream()
                    .filter(upstream -> upstream.usable(time.nanoTime()))
                    .map(Upstream::id)
                    .sorted()
                    .toList();
        }

        /** Guards against requests to an upstream that is leaving, or has left, and that the copy lists as ready. */
        @Test
        void doesNotBringBackUpstreamsThatAreLeavingOrGone() {
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("a", 5, 2, false), listed("b", 5, 2, false)));
            fleet.changed(
                    Directory.UPSTREAMS,
                    List.of(listed("a", 5, 3, true), new FleetChange.UpstreamRemoved("b"), listed("c", 5, 1, false)));
            restore(listed("a", 5, 2, false), listed("b", 5, 2, false), listed("c", 5, 1, false));
            assertThat(usable()).containsExactly("c");

            time.advance(Duration.ofSeconds(5));
            fleet.applyDeferredChanges(time.nanoTime());
            assertThat(usable()).containsExactly("c");
            assertThat(ids()).containsExactly("a", "c");
        }

        /** Guards against an upstream that stays unused although it has registered again, or was started again. */
        @Test
        void isOverForAnUpstreamWithANewerListing() {
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("a", 5, 2, false), listed("b", 5, 2, false)));
            fleet.changed(
                    Directory.UPSTREAMS,
                    List.of(new FleetChange.UpstreamRemoved("a"), new FleetChange.UpstreamRemoved("b")));
            restore(listed("a", 5, 2, false), listed("b", 4, 9, false));
            assertThat(usable()).isEmpty();

            fleet.changed(Directory.UPSTREAMS, List.of(listed("a", 5, 3, false), listed("b", 6, 1, false)));
            assertThat(usable()).containsExactly("a", "b");
        }

        /** Guards against an upstream whose clock was set back and that is ignored for a minute after a restore. */
        @Test
        void isOverForAnUpstreamThatIsListedAfterTheFirstRead() {
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("a", 5, 2, false), listed("b", 5, 2, false)));
            fleet.changed(Directory.UPSTREAMS, List.of(new FleetChange.UpstreamRemoved("a")));
            restore(listed("a", 5, 2, false), listed("b", 4, 1, false));
            assertThat(usable()).containsExactly("b");

            fleet.changed(Directory.UPSTREAMS, List.of(listed("a", 5, 2, false), listed("b", 4, 2, true)));
            assertThat(usable()).containsExactly("a");
        }

        /** Guards against requests to upstreams that have left if the copy lists them before the removal is applied. */
        @Test
        void keepsTheRemovalsThatAnOutageDefers() {
            FleetChange a = listed("a", 5, 2, false);
            FleetChange b = listed("b", 5, 2, false);
            FleetChange c = listed("c", 5, 2, false);
            fleet.snapshot(Directory.UPSTREAMS, List.of(a, b, c));
            fleet.storeRecovered(Directory.UPSTREAMS);
            fleet.changed(
                    Directory.UPSTREAMS,
                    List.of(new FleetChange.UpstreamRemoved("a"), new FleetChange.UpstreamRemoved("b")));
            restore(a, b, c);
            fleet.changed(Directory.UPSTREAMS, List.of(listed("b", 5, 3, false)));
            time.advance(Duration.ofSeconds(3));
            fleet.applyDeferredChanges(time.nanoTime());

            assertThat(ids()).containsExactly("b", "c");
        }

        /** Guards against upstreams that get no requests until they have registered again, even if they are few. */
        @Test
        void keepsUpstreamsThatTheCopyDoesNotListUntilTheyRegisterAgain() {
            List<FleetChange> all = List.of(listed("a"), listed("b"), listed("c"), listed("d"));
            fleet.snapshot(Directory.UPSTREAMS, all);
            restore(listed("c"), listed("d"));
            time.advance(Duration.ofMillis(2500));
            fleet.applyDeferredChanges(time.nanoTime());
            assertThat(ids()).containsExactly("a", "b", "c", "d");

            fleet.changed(Directory.UPSTREAMS, List.of(listed("a")));
            time.advance(Duration.ofMillis(500));
            fleet.confirmed(Directory.UPSTREAMS, time.nanoTime());
            fleet.applyDeferredChanges(time.nanoTime());
            assertThat(ids()).containsExactly("a", "c", "d");
        }

        /** Guards against an entry that drops its upstreams because the store could not be read after the restore. */
        @Test
        void removesNoUpstreamBeforeTheStoreConfirmsThatItHasNotRegistered() {
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("a"), listed("b")));
            restore(listed("b"));
            fleet.confirmed(Directory.UPSTREAMS, time.nanoTime());
            time.advance(Duration.ofSeconds(4));
            fleet.applyDeferredChanges(time.nanoTime());
            assertThat(ids()).containsExactly("a", "b");

            fleet.confirmed(Directory.UPSTREAMS, time.nanoTime());
            fleet.applyDeferredChanges(time.nanoTime());
            assertThat(ids()).containsExactly("b");
        }

        /** Guards against an upstream that was taken away after the restore and is kept with the missing ones. */
        @Test
        void doesNotDelayARemovalThatFollowsIt() {
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("a"), listed("b"), listed("c"), listed("d")));
            restore(listed("a"), listed("b"), listed("c"));
            fleet.changed(Directory.UPSTREAMS, List.of(new FleetChange.UpstreamRemoved("a")));

            assertThat(ids()).containsExactly("b", "c", "d");
        }

        /** Guards against requests to an evacuated data centre because the copy lacks the evacuation. */
        @Test
        void keepsAnEvacuationUntilItIsWrittenAgain() {
            FleetChange requested = new FleetChange.EvacuationRequested("z");
            fleet.changed(Directory.OPERATOR, List.of(requested));
            fleet.storeRestored(Directory.OPERATOR);
            fleet.snapshot(Directory.OPERATOR, List.of());
            assertThat(fleet.evacuations().inForce("z")).isTrue();

            fleet.changed(Directory.OPERATOR, List.of(requested));
            time.advance(Duration.ofSeconds(6));
            fleet.applyDeferredChanges(time.nanoTime());
            fleet.confirmed(Directory.OPERATOR, time.nanoTime());
            assertThat(fleet.evacuations().inForce("z")).isTrue();
        }

        /** Guards against a data centre that stays evacuated although the operator never requests it again. */
        @Test
        void endsAnEvacuationThatIsNotWrittenAgain() {
            fleet.changed(Directory.OPERATOR, List.of(new FleetChange.EvacuationRequested("z")));
            fleet.storeRestored(Directory.OPERATOR);
            fleet.snapshot(Directory.OPERATOR, List.of());
            time.advance(Duration.ofSeconds(6));
            fleet.confirmed(Directory.OPERATOR, time.nanoTime());

            assertThat(fleet.evacuations().inForce("z")).isFalse();
        }

        /** Guards against an evacuation that ends although the store could not be read after the restore. */
        @Test
        void endsNoEvacuationBeforeTheStoreConfirmsThatItIsNotWrittenAgain() {
            fleet.changed(Directory.OPERATOR, List.of(new FleetChange.EvacuationRequested("z")));
            fleet.storeRestored(Directory.OPERATOR);
            fleet.snapshot(Directory.OPERATOR, List.of());
            fleet.confirmed(Directory.OPERATOR, time.nanoTime());
            time.advance(Duration.ofSeconds(6));
            fleet.applyDeferredChanges(time.nanoTime());
            assertThat(fleet.evacuations().inForce("z")).isTrue();

            fleet.confirmed(Directory.OPERATOR, time.nanoTime());
            assertThat(fleet.evacuations().inForce("z")).isFalse();
        }

        /** Guards against an evacuation that comes back into force because the copy lacks its revocation. */
        @Test
        void doesNotRepeatAnEvacuationThatWasRevoked() {
            FleetChange requested = new FleetChange.EvacuationRequested("z");
            fleet.changed(Directory.OPERATOR, List.of(requested));
            fleet.changed(Directory.OPERATOR, List.of(new FleetChange.EvacuationRevoked("z")));
            fleet.storeRestored(Directory.OPERATOR);
            fleet.snapshot(Directory.OPERATOR, List.of(requested));
            assertThat(fleet.evacuations().inForce("z")).isFalse();

            fleet.changed(Directory.OPERATOR, List.of(requested));
            assertThat(fleet.evacuations().inForce("z")).isTrue();
        }

        /** Guards against an evacuation that is ignored for good if it was requested before the copy is first read. */
        @Test
        void appliesAnEvacuationThatIsRequestedAgainBeforeTheFirstRead() {
            FleetChange requested = new FleetChange.EvacuationRequested("z");
            fleet.changed(Directory.OPERATOR, List.of(requested));
            fleet.changed(Directory.OPERATOR, List.of(new FleetChange.EvacuationRevoked("z")));
            time.advance(Duration.ofSeconds(10));
            fleet.storeRestored(Directory.OPERATOR);
            fleet.snapshot(Directory.OPERATOR, List.of(requested));
            time.advance(Duration.ofSeconds(2));
            fleet.applyDeferredChanges(time.nanoTime());

            assertThat(fleet.evacuations().inForce("z")).isTrue();
            assertThat(fleet.evacuations().withdrawsUnanswered("z", time.nanoTime()))
                    .isTrue();
        }

        /** Guards against a delay of an evacuation because of a revocation that every copy contains. */
        @Test
        void appliesAnEvacuationAtOnceIfTheLastOneEndedLongAgo() {
            FleetChange requested = new FleetChange.EvacuationRequested("z");
            fleet.changed(Directory.OPERATOR, List.of(requested));
            fleet.changed(Directory.OPERATOR, List.of(new FleetChange.EvacuationRevoked("z")));
            time.advance(Duration.ofMinutes(1));
            fleet.storeRestored(Directory.OPERATOR);
            fleet.snapshot(Directory.OPERATOR, List.of(requested));

            assertThat(fleet.evacuations().inForce("z")).isTrue();
        }

        /** Guards against a revoked evacuation that comes into force although its revocation was written again. */
        @Test
        void dropsAnEvacuationThatIsRevokedAgain() {
            FleetChange requestedInY = new FleetChange.EvacuationRequested("y");
            FleetChange requestedInZ = new FleetChange.EvacuationRequested("z");
            fleet.changed(Directory.OPERATOR, List.of(requestedInY, requestedInZ));
            fleet.changed(
                    Directory.OPERATOR,
                    List.of(new FleetChange.EvacuationRevoked("y"), new FleetChange.EvacuationRevoked("z")));
            fleet.storeRestored(Directory.OPERATOR);
            fleet.snapshot(Directory.OPERATOR, List.of(requestedInY, requestedInZ));
            fleet.changed(Directory.OPERATOR, List.of(new FleetChange.EvacuationRevoked("y")));
            fleet.snapshot(Directory.OPERATOR, List.of());
            time.advance(Duration.ofSeconds(2));
            fleet.applyDeferredChanges(time.nanoTime());

            assertThat(fleet.evacuations().count()).isZero();
        }

        /** Guards against a configuration or a version of weights that the copy makes older. */
        @Test
        void neverLowersTheConfigurationOrTheNamedVersions() {
            fleet.snapshot(
                    Directory.OPERATOR,
                    List.of(new FleetChange.ConfigPublished(config(7)), new FleetChange.WeightsNamed("m", 3)));
            fleet.storeRestored(Directory.OPERATOR);
            fleet.snapshot(
                    Directory.OPERATOR,
                    List.of(new FleetChange.ConfigPublished(config(6)), new FleetChange.WeightsNamed("m", 2)));

            assertThat(fleet.config().map(GatewayConfig::version)).contains(7L);
            assertThat(named.newest("m")).hasValue(3);
        }

        private GatewayConfig config(long version) {
            return GatewayConfig.of(version, List.of(), List.of(), Optional.empty(), CallerLimits.defaults());
        }
    }

    /** Pattern: a listing that is no copy of an older one, while the store keeps its era. */
    @Nested
    class AnEarlierStart {
        /** Guards against an upstream that is never used because the clock of its machine was set back. */
        @Test
        void countsAsARestartWithinAnEra() {
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("a", 5, 9, true)));
            fleet.changed(Directory.UPSTREAMS, List.of(listed("a", 4, 1, false)));

            assertThat(table.listed().get(0).usable(time.nanoTime())).isTrue();
        }
    }

    /** Pattern: entries expire during an outage of the store and return within seconds. */
    @Nested
    class ADeferredRemoval {
        /** Guards against a removal that was recorded twice and outlasts the return of the upstream. */
        @Test
        void isVoidOnceTheUpstreamIsListedAgain() {
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("a")));
            fleet.storeRecovered(Directory.UPSTREAMS);
            fleet.changed(Directory.UPSTREAMS, List.of(new FleetChange.UpstreamRemoved("a")));
            fleet.snapshot(Directory.UPSTREAMS, List.of());
            fleet.changed(Directory.UPSTREAMS, List.of(listed("a")));
            time.advance(Duration.ofSeconds(5));
            fleet.applyDeferredChanges(time.nanoTime());

            assertThat(ids()).containsExactly("a");
        }

        /** Guards against requests to an upstream that was taken away after the outage, and exits soon. */
        @Test
        void ofFewUpstreamsTakesEffectAtOnce() {
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("a"), listed("b"), listed("c")));
            fleet.storeRecovered(Directory.UPSTREAMS);
            fleet.changed(Directory.UPSTREAMS, List.of(new FleetChange.UpstreamRemoved("a")));

            assertThat(ids()).containsExactly("b", "c");
        }

        /** Guards against a service without upstreams because their listings expired during the outage. */
        @Test
        void ofMostUpstreamsWaitsForTheirReturn() {
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("a"), listed("b"), listed("c")));
            fleet.storeRecovered(Directory.UPSTREAMS);
            fleet.changed(
                    Directory.UPSTREAMS,
                    List.of(new FleetChange.UpstreamRemoved("a"), new FleetChange.UpstreamRemoved("b")));
            assertThat(ids()).containsExactly("a", "b", "c");

            time.advance(Duration.ofMillis(2000));
            fleet.applyDeferredChanges(time.nanoTime());
            assertThat(ids()).containsExactly("c");
        }

        /** Guards against removals that each are few, but together leave a service without upstreams. */
        @Test
        void countsWithTheEarlierOnesOfTheSameOutage() {
            fleet.snapshot(Directory.UPSTREAMS, List.of(listed("a"), listed("b"), listed("c"), listed("d")));
            fleet.storeRecovered(Directory.UPSTREAMS);
            for (String id : List.of("a", "b", "c")) {
                fleet.changed(Directory.UPSTREAMS, List.of(new FleetChange.UpstreamRemoved(id)));
            }

            assertThat(ids()).containsExactly("b", "c", "d");
        }
    }
}
