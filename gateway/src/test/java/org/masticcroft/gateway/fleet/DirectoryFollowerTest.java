package org.masticcroft.gateway.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.time.TimeSource;

class DirectoryFollowerTest {
    private static final Duration MAX_WAIT = Duration.ofSeconds(2);

    private final TimeSource time = TimeSource.system();
    private final DecisionLog log = DecisionLog.start(time, new PrintStream(OutputStream.nullOutputStream()));
    private final EventLoop loop = new DefaultEventLoop();
    private final ChangingStore store = new ChangingStore();

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        log.close();
    }

    /** Pattern: every engine of a large fleet changes its state within seconds, as during a version change. */
    @Nested
    class AListThatChangesAllTheTime {
        /** Guards against a read of every entry for every change, which grows with the square of the fleet. */
        @Test
        void isReadOnceAnInterval() throws InterruptedException {
            DirectoryFollower follower = DirectoryFollower.of(
                    Directory.UPSTREAMS,
                    store,
                    loop,
                    time,
                    new DirectoryFollower.Timing(MAX_WAIT, Duration.ofMillis(200)),
                    new IgnoringListener(),
                    log);
            loop.execute(follower::start);
            TimeUnit.MILLISECONDS.sleep(1100);

            assertThat(store.reads.get()).isBetween(2, 7);
        }
    }

    /** Pattern: a record that nobody foresaw makes the store's client or the listener throw. */
    @Nested
    class AFailure {
        private void follow(FleetStore followed, DirectoryFollower.Listener listener) {
            DirectoryFollower follower = DirectoryFollower.of(
                    Directory.UPSTREAMS,
                    followed,
                    loop,
                    time,
                    new DirectoryFollower.Timing(MAX_WAIT, Duration.ofMillis(10)),
                    listener,
                    log);
            loop.execute(follower::start);
        }

        /** Guards against a directory that is no longer followed once the listener has failed. */
        @Test
        void ofTheListenerIsFollowedByAReadOfTheWholeDirectory() throws InterruptedException {
            CountDownLatch snapshots = new CountDownLatch(2);
            CountDownLatch changes = new CountDownLatch(2);
            follow(store, new IgnoringListener() {
                @Override
                public void snapshot(Directory directory, List<FleetChange> records) {
                    snapshots.countDown();
                }

                @Override
                public void changed(Directory directory, List<FleetChange> records) {
                    changes.countDown();
                    if (changes.getCount() > 0) {
                        throw new IllegalStateException("an odd record");
                    }
                }
            });
            assertThat(snapshots.await(5, TimeUnit.SECONDS)).isTrue();
            assertThat(changes.await(5, TimeUnit.SECONDS)).isTrue();
        }

        /** Guards against records that count as applied although the listener has failed at them. */
        @Test
        void ofTheListenerConfirmsNothing() throws InterruptedException {
            CountDownLatch snapshots = new CountDownLatch(2);
            AtomicInteger confirmations = new AtomicInteger();
            follow(store, new IgnoringListener() {
                @Override
                public void snapshot(Directory directory, List<FleetChange> records) {
                    snapshots.countDown();
                    throw new IllegalStateException("an odd record");
                }

                @Override
                public void confirmed(Directory directory, long nanos) {
                    confirmations.incrementAndGet();
                }
            });
            assertThat(snapshots.await(5, TimeUnit.SECONDS)).isTrue();
            assertThat(confirmations).hasValue(0);
        }

        /** Guards against a directory that is no longer followed once a call to the store could not be made. */
        @Test
        void ofTheStoreClientIsFollowedByAnotherRead() throws InterruptedException {
            CountDownLatch reads = new CountDownLatch(3);
            follow(
                    new ChangingStore() {
                        @Override
                        public void readAll(Directory directory, Consumer<DirectoryReply> reply) {
                            reads.countDown();
                            throw new IllegalStateException("no call");
                        }
                    },
                    new IgnoringListener());
            assertThat(reads.await(5, TimeUnit.SECONDS)).isTrue();
        }
    }

    /** Pattern: the store is down for a few seconds, and upstreams leave soon after it is back. */
    @Nested
    class AnOutage {
        /** Longest time from the return of the store until it is noticed; upstreams may leave 3 s after it. */
        private static final Duration MAX_DETECTION_TIME = Duration.ofMillis(1000);

        /** Guards against removals that are deferred because an outage counts as over seconds after its end. */
        @Test
        void endsWithTheFirstAnswerAndNotWithTheNextChange() throws InterruptedException {
            CountDownLatch recovered = new CountDownLatch(1);
            DirectoryFollower follower = DirectoryFollower.of(
                    Directory.UPSTREAMS,
                    new StoreAfterAnOutage(),
                    loop,
                    time,
                    new DirectoryFollower.Timing(MAX_WAIT, Duration.ZERO),
                    new IgnoringListener() {
                        @Override
                        public void storeRecovered(Directory directory) {
                            recovered.countDown();
                        }
                    },
                    log);
            loop.execute(follower::start);

            assertThat(recovered.await(MAX_DETECTION_TIME.toMillis(), TimeUnit.MILLISECONDS))
                    .isTrue();
        }

        /** Store without changes whose first long poll fails; each later one lasts for its whole wait. */
        private final class StoreAfterAnOutage extends ChangingStore {
            private boolean failed;

            @Override
            public void readFrom(Directory directory, long from, Duration wait, Consumer<DirectoryReply> reply) {
                if (!failed) {
                    failed = true;
                    reply.accept(DirectoryReply.unavailable("timeout"));
                } else {
                    loop.schedule(
                            () -> reply.accept(DirectoryReply.read(List.of(), from)),
                            wait.toMillis(),
                            TimeUnit.MILLISECONDS);
                }
            }
        }
    }

    /** Pattern: the store deletes its history while a read waits for changes. */
    @Nested
    class ADeletedHistory {
        private static final Duration SILENCE = Duration.ofMillis(300);

        /** Guards against records that count as new although the read that should have returned them was cut off. */
        @Test
        void makesTheNextRecordsAsOldAsTheReadThatWaited() throws Exception {
            CompletableFuture<Duration> missedFor = new CompletableFuture<>();
            DirectoryFollower follower = DirectoryFollower.of(
                    Directory.OPERATOR,
                    new ChangingStore() {
                        @Override
                        public void readFrom(
                                Directory directory, long from, Duration wait, Consumer<DirectoryReply> reply) {
                            loop.schedule(
                                    () -> reply.accept(DirectoryReply.expired()),
                                    SILENCE.toMillis(),
                                    TimeUnit.MILLISECONDS);
                        }
                    },
                    loop,
                    time,
                    new DirectoryFollower.Timing(MAX_WAIT, Duration.ZERO),
                    new IgnoringListener() {
                        @Override
                        public void recordsMissedSince(Directory directory, long nanos) {
                            missedFor.complete(time.since(nanos));
                        }
                    },
                    log);
            loop.execute(follower::start);

            assertThat(missedFor.get(5, TimeUnit.SECONDS)).isGreaterThanOrEqualTo(SILENCE);
        }
    }

    /** Pattern: the store comes back from an older copy, while replies of both eras are on their way. */
    @Nested
    class ARestore {
        private final HeldStore held = new HeldStore();
        private final List<String> received = new ArrayList<>();
        private final DirectoryFollower follower = DirectoryFollower.of(
                Directory.UPSTREAMS,
                held,
                loop,
                time,
                new DirectoryFollower.Timing(MAX_WAIT, Duration.ZERO),
                new IgnoringListener() {
                    @Override
                    public void snapshot(Directory directory, List<FleetChange> changes) {
                        received.add("all " + changes.size());
                    }

                    @Override
                    public void changed(Directory directory, List<FleetChange> changes) {
                        received.add("new " + changes.size());
                    }

                    @Override
                    public void storeRestored(Directory directory) {
                        received.add("restored");
                    }

                    @Override
                    public void recordsMissedSince(Directory directory, long nanos) {
                        received.add("missed");
                    }
                },
                log);

        /** Replies to the read that was sent last, in the era that the store states. */
        private void reply(long stated, FleetChange... changes) {
            held.reply(held.calls.size() - 1, OptionalLong.of(stated), changes);
        }

        private void startInEra(long stated) {
            follower.start();
            reply(stated, new FleetChange.UpstreamRemoved("a"));
            received.clear();
        }

        /** Guards against records of the new era that are missed because the offsets before it were read on. */
        @Test
        void isFollowedByAReadOfTheWholeDirectory() {
            startInEra(1);
            reply(2, new FleetChange.UpstreamRemoved("b"));
            assertThat(received).isEmpty();
            reply(2);

            assertThat(received).containsExactly("restored", "missed", "all 0");
            assertThat(held.calls).containsExactly("all", "from 7", "all", "from 7");
        }

        /** Guards against a read of an old offset that goes on, if another call of the process stated the era. */
        @Test
        void isNoticedFromOtherCallsAndEndsTheReadThatWaits() {
            startInEra(1);
            held.era.record(held.era.current(), OptionalLong.of(2));
            held.reply(1, OptionalLong.of(1), new FleetChange.UpstreamRemoved("old"));
            reply(2);

            assertThat(received).containsExactly("restored", "missed", "all 0");
            assertThat(held.era.current()).hasValue(2);
        }

        /** Guards against a restore that counts twice because a response that was sent before it came late. */
        @Test
        void isNotUndoneByALateResponse() {
            startInEra(1);
            reply(2);
            reply(2);
            assertThat(held.era.record(OptionalLong.of(1), OptionalLong.of(1))).isFalse();

            assertThat(held.era.restores()).isEqualTo(1);
            assertThat(held.calls).hasSize(4);
        }

        /** Guards against a store whose count was lost, too, and whose older records are then never read. */
        @Test
        void countsAlsoIfTheEraIsLower() {
            startInEra(5);
            reply(1);
            reply(1);

            assertThat(received).containsExactly("restored", "missed", "all 0");
        }

        /** Guards against full reads at a store that states no era, or first states one later. */
        @Test
        void isNotSeenWhereNoEraIsStated() {
            follower.start();
            held.reply(0, OptionalLong.empty());
            FleetChange change = new FleetChange.UpstreamRemoved("a");
            held.reply(1, OptionalLong.empty(), change);
            held.reply(2, OptionalLong.of(3), change);
            held.reply(3, OptionalLong.empty(), change);

            assertThat(held.calls).containsExactly("all", "from 7", "from 7", "from 7", "from 7");
            assertThat(held.era.restores()).isZero();
        }
    }

    /** Pattern: a version is named while a large configuration crosses a full link. */
    @Nested
    class ASlowReply {
        private final HeldStore held = new HeldStore();
        private final List<Duration> missed = new ArrayList<>();
        private final DirectoryFollower follower = DirectoryFollower.of(
                Directory.OPERATOR,
                held,
                loop,
                time,
                new DirectoryFollower.Timing(MAX_WAIT, Duration.ZERO),
                new IgnoringListener() {
                    @Override
                    public void recordsMissedSince(Directory directory, long nanos) {
                        missed.add(time.since(nanos));
                    }
                },
                log);

        private void reply(int call, Duration transferTime) {
            FleetChange change = new FleetChange.WeightsNamed("m", call);
            held.replies
                    .get(call)
                    .accept(DirectoryReply.read(List.of(change), 7).receivedWithin(transferTime));
        }

        /** Guards against a version that counts as named when the reply was complete, or when the next one came. */
        @Test
        void makesItsRecordsAndThoseOfTheNextReplyOlder() {
            follower.start();
            reply(0, Duration.ZERO);
            reply(1, Duration.ofSeconds(2));
            reply(2, Duration.ZERO);
            reply(3, Duration.ZERO);

            assertThat(missed).hasSize(2).allSatisfy(age -> assertThat(age).isGreaterThan(Duration.ofSeconds(2)));
        }

        /** Guards against an older version that is given up too soon, because the new one counts as older. */
        @Test
        void leavesRecordsNewThatTheNextReadHasWaitedFor() {
            follower.start();
            reply(0, Duration.ZERO);
            reply(1, Duration.ofMillis(60));
            LockSupport.parkNanos(Duration.ofMillis(200).toNanos());
            reply(2, Duration.ZERO);

            assertThat(missed).hasSize(1);
        }
    }

    /** Store whose replies the test sends, in any order. */
    private static final class HeldStore extends ChangingStore {
        private final StoreEra era = StoreEra.unknown();
        private final List<String> calls = new ArrayList<>();
        private final List<OptionalLong> erasWhenSent = new ArrayList<>();
        private final List<Consumer<DirectoryReply>> replies = new ArrayList<>();

        private void reply(int call, OptionalLong stated, FleetChange... changes) {
            era.record(erasWhenSent.get(call), stated);
            replies.get(call).accept(DirectoryReply.read(List.of(changes), 7));
        }

        private void add(String call, Consumer<DirectoryReply> reply) {
            calls.add(call);
            erasWhenSent.add(era.current());
            replies.add(reply);
        }

        @Override
        public StoreEra era() {
            return era;
        }

        @Override
        public void readAll(Directory directory, Consumer<DirectoryReply> reply) {
            add("all", reply);
        }

        @Override
        public void readFrom(Directory directory, long from, Duration wait, Consumer<DirectoryReply> reply) {
            add("from " + from, reply);
        }
    }

    /** Store that has a change for each read. */
    private static class ChangingStore implements FleetStore {
        private final StoreEra era = StoreEra.unknown();
        private final AtomicInteger reads = new AtomicInteger();

        @Override
        public StoreEra era() {
            return era;
        }

        @Override
        public void readAll(Directory directory, Consumer<DirectoryReply> reply) {
            reads.incrementAndGet();
            reply.accept(DirectoryReply.read(List.of(), 0));
        }

        @Override
        public void readOperatorWithoutConfig(Consumer<DirectoryReply> reply) {
            throw new UnsupportedOperationException("the test has no sidecar");
        }

        @Override
        public void readFrom(Directory directory, long from, Duration wait, Consumer<DirectoryReply> reply) {
            reads.incrementAndGet();
            reply.accept(DirectoryReply.read(List.of(new FleetChange.UpstreamRemoved("e" + from)), from + 1));
        }

        @Override
        public void appendAccountRecord(String key, byte[] data, Consumer<Boolean> reply) {
            throw new UnsupportedOperationException("the test writes no account");
        }

        @Override
        public void readAccountRecords(Consumer<AccountRecords> reply) {
            throw new UnsupportedOperationException("the test reads no account");
        }
    }

    private static class IgnoringListener implements DirectoryFollower.Listener {
        @Override
        public void snapshot(Directory directory, List<FleetChange> changes) {}

        @Override
        public void changed(Directory directory, List<FleetChange> changes) {}

        @Override
        public void confirmed(Directory directory, long nanos) {}
    }
}
