package org.masticcroft.ports.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.config.ConfigRecord;
import org.masticcroft.kernel.config.ConfigState;
import org.masticcroft.kernel.config.FleetConfig;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.time.ManualTimeSource;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.log.InMemoryLogService;
import org.masticcroft.ports.log.LogPage;
import org.masticcroft.ports.log.LogRecord;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.ports.log.Streams;
import org.masticcroft.wire.PeerCall;
import org.masticcroft.wire.PeerCallListener;
import org.masticcroft.wire.PeerClient;
import org.masticcroft.wire.PeerHandler;
import org.masticcroft.wire.PeerResponder;
import org.masticcroft.wire.generated.Envelope;

class ConfigTrackerTest {
    private static final InetSocketAddress PEER = new InetSocketAddress("127.0.0.1", 7001);
    private static final Duration RETENTION = Duration.ofHours(4);

    private final ManualTimeSource time = ManualTimeSource.of(Instant.parse("2026-12-04T04:00:00Z"));
    private final InMemoryLogService log = InMemoryLogService.of(time);
    private final List<Instance> instances = new ArrayList<>();
    private final LocalPeers peers = new LocalPeers();
    private ConfigTracker tracker;

    @BeforeEach
    void create() {
        tracker = tracker(TrackerSettings.of("self"));
    }

    private ConfigTracker tracker(TrackerSettings settings) {
        ConfigTracker created = ConfigTracker.of(
                log,
                () -> instances,
                time,
                RandomSource.SPLIT_MIX_64.create(20261204L),
                settings.withLongPoll(Duration.ZERO));
        created.attachPeers(peers);
        return created;
    }

    private void publish(long base, String drained) {
        FleetConfig config =
                new FleetConfig(null, null, null, null, null, null, null, null, new TreeSet<>(List.of(drained)));
        log.append(Streams.CONFIG, new ConfigRecord.Update("id-" + drained, base, "", config).encode());
    }

    private void advanceAndPoll(ConfigTracker polled, Duration step, int times) {
        for (int i = 0; i < times; i++) {
            time.advance(step);
            polled.poll();
        }
    }

    private ConfigTracker peerAtVersion(int version) {
        ConfigTracker peer = tracker(TrackerSettings.of("peer"));
        for (int base = 0; base < version; base++) {
            publish(base, "u" + base);
        }
        peer.poll();
        peers.handlers.put(PEER, ConfigPeerHandler.of(peer, (request, responder) -> {}));
        instances.add(new Instance(
                "peer",
                Instance.Role.ENTRY,
                "r",
                "d",
                PEER.getHostString(),
                0,
                0,
                PEER.getPort(),
                Instance.State.LIVE,
                Optional.empty()));
        return peer;
    }

    @Nested
    class Following {
        /** Guards against a version that does not take effect, or a listener that sees versions go down or twice. */
        @Test
        void appliesVersionsInOrderAndTellsListenersOnce() {
            List<Long> told = new ArrayList<>();
            tracker.addListener(state -> told.add(state.version()));
            publish(0, "a");
            tracker.poll();
            publish(0, "void");
            log.append(Streams.CONFIG, new byte[] {1});
            tracker.poll();
            publish(1, "b");
            tracker.poll();
            tracker.poll();
            assertThat(told).containsExactly(1L, 2L);
            assertThat(tracker.state().config().drained()).containsExactly("b");
        }

        /** Guards against a listener whose failure stops the tracker. */
        @Test
        void goesOnWhenAListenerFails() {
            tracker.addListener(state -> {
                throw new IllegalStateException("listener");
            });
            CompletableFuture<ConfigState> reached = tracker.whenAtLeast(2);
            publish(0, "a");
            tracker.poll();
            assertThat(reached).isNotDone();
            publish(1, "b");
            tracker.poll();
            assertThat(reached).isCompleted();
        }
    }

    @Nested
    class Confirmation {
        /** Guards against a process that counts as confirmed although it cannot read the log. */
        @Test
        void lapsesDuringAnOutageAndReturns() {
            assertThat(tracker.confirmed()).isFalse();
            publish(0, "a");
            tracker.poll();
            assertThat(tracker.confirmed()).isTrue();
            log.setAvailable(false);
            advanceAndPoll(tracker, Duration.ofSeconds(1), 5);
            assertThat(tracker.confirmed()).isTrue();
            time.advance(Duration.ofMillis(1));
            assertThat(tracker.confirmed()).isFalse();
            assertThat(tracker.age()).isEqualTo(Duration.ofMillis(5001));
            log.setAvailable(true);
            tracker.poll();
            assertThat(tracker.confirmed()).isTrue();
        }

        /** Guards against a reader that is confirmed although it cannot check the updates in the log. */
        @Test
        void needsAKnownVersion() {
            publish(0, "a");
            publish(1, "b");
            log.dropBefore(Streams.CONFIG, 1);
            tracker.poll();
            assertThat(tracker.available()).isFalse();
            assertThat(tracker.confirmed()).isFalse();
        }

        /** Guards against an offer of a peer that counts as a read of the log. */
        @Test
        void doesNotComeFromPeers() {
            peerAtVersion(3);
            log.setAvailable(false);
            tracker.poll();
            assertThat(tracker.version()).isEqualTo(3);
            assertThat(tracker.confirmed()).isFalse();
        }
    }

    @Nested
    class Peers {
        /** Guards against a process that starts during an outage of the log and serves nothing. */
        @Test
        void giveTheConfigurationWhileTheLogIsDown() {
            peerAtVersion(2);
            log.setAvailable(false);
            tracker.poll();
            assertThat(tracker.state().config().drained()).containsExactly("u1");
            log.setAvailable(true);
            publish(2, "c");
            tracker.poll();
            assertThat(tracker.version()).isEqualTo(3);
            assertThat(tracker.confirmed()).isTrue();
        }

        /** Guards against a reader that stays without a version because the start of the stream has expired. */
        @Test
        void connectAReaderWhoseStartHasExpired() {
            ConfigTracker peer = peerAtVersion(2);
            publish(2, "c");
            log.dropBefore(Streams.CONFIG, 2);
            tracker.poll();
            assertThat(tracker.version()).isEqualTo(3);
            tracker.poll();
            assertThat(tracker.confirmed()).isTrue();
            assertThat(peer.version()).isEqualTo(2);
        }

        /** Guards against a version that is learned of but not fetched, or fetched again when it is known. */
        @Test
        void areAskedWhenTheyMentionAHigherVersion() {
            peerAtVersion(2);
            log.setAvailable(false);
            tracker.noticeVersion(2, PEER);
            assertThat(tracker.version()).isEqualTo(2);
            tracker.noticeVersion(1, PEER);
            tracker.noticeVersion(2, PEER);
            assertThat(peers.calls).isEqualTo(1);
        }

        /** Guards against a peer that does not answer and blocks later requests to it. */
        @Test
        void areAskedAgainAfterAFailure() {
            tracker.noticeVersion(2, PEER);
            assertThat(tracker.version()).isZero();
            peerAtVersion(2);
            tracker.noticeVersion(2, PEER);
            assertThat(tracker.version()).isEqualTo(2);
        }
    }

    @Nested
    class Snapshots {
        private ConfigTracker publisher;

        @BeforeEach
        void retain() {
            log.setRetention(RETENTION);
            publisher = tracker(TrackerSettings.of("entry").withLogRetention(RETENTION));
            publish(0, "a");
            publisher.poll();
        }

        private long snapshots() {
            return log.records(Streams.CONFIG).stream()
                    .map(LogRecord::data)
                    .flatMap(data -> ConfigRecord.decode(data).stream())
                    .filter(ConfigRecord.Snapshot.class::isInstance)
                    .count();
        }

        /** Guards against a configuration that expires from the log while nobody changes it. */
        @Test
        void keepTheConfigurationReadablePastRetention() {
            advanceAndPoll(publisher, Duration.ofMinutes(5), 12 * 20);
            tracker.poll();
            assertThat(log.records(Streams.CONFIG).get(0).offset()).isPositive();
            assertThat(tracker.version()).isEqualTo(1);
            assertThat(tracker.confirmed()).isTrue();
        }

        /** Guards against a stream without a snapshot because updates come more often than snapshots are due. */
        @Test
        void areAppendedAlthoughUpdatesAreFrequent() {
            for (int version = 1; version <= 40; version++) {
                publish(version, "u" + version);
                advanceAndPoll(publisher, Duration.ofMinutes(5), 4);
            }
            tracker.poll();
            assertThat(tracker.version()).isEqualTo(41);
        }

        /** Guards against snapshots that use up the log's append rate, and against each entry appending one. */
        @Test
        void areAppendedByOneEntryWhenDue() {
            RoundLog rounds = new RoundLog(log);
            List<ConfigTracker> entries = Stream.of(7L, 8L, 9L, 10L)
                    .map(seed -> ConfigTracker.of(
                            rounds,
                            () -> instances,
                            time,
                            RandomSource.SPLIT_MIX_64.create(seed),
                            TrackerSettings.of("entry-" + seed)
                                    .withLogRetention(RETENTION)
                                    .withLongPoll(Duration.ZERO)))
                    .toList();
            for (int second = 0; second < 4000; second++) {
                time.advance(Duration.ofSeconds(1));
                rounds.end = log.read(Streams.CONFIG, 0, 1, Duration.ZERO).next();
                entries.forEach(ConfigTracker::poll);
            }
            assertThat(snapshots()).isEqualTo(1);
        }

        /** Guards against a snapshot that is appended before its time. */
        @Test
        void areNotAppendedEarly() {
            advanceAndPoll(publisher, Duration.ofMinutes(1), 60);
            assertThat(snapshots()).isZero();
        }
    }

    /** A log whose readers see records with the delay that readers at the same moment have. */
    private static final class RoundLog implements LogService {
        private final LogService delegate;
        private long end;

        private RoundLog(LogService delegate) {
            this.delegate = delegate;
        }

        @Override
        public long append(String stream, byte[] data) {
            return delegate.append(stream, data);
        }

        @Override
        public LogPage read(String stream, long from, int max, Duration wait) {
            LogPage page = delegate.read(stream, from, max, wait);
            List<LogRecord> seen = page.records().stream()
                    .filter(entry -> entry.offset() < end)
                    .toList();
            return new LogPage(page.earliest(), end, seen);
        }
    }

    /** Peers in this process; a peer without a handler cannot be reached. */
    private static final class LocalPeers implements PeerClient {
        private final Map<InetSocketAddress, PeerHandler> handlers = new HashMap<>();
        private int calls;

        @Override
        public PeerCall open(InetSocketAddress address, Envelope.Builder request, PeerCallListener listener) {
            throw new UnsupportedOperationException("open");
        }

        @Override
        public CompletableFuture<Envelope> call(InetSocketAddress address, Envelope.Builder request, Duration timeout) {
            calls++;
            CompletableFuture<Envelope> reply = new CompletableFuture<>();
            PeerHandler handler = handlers.get(address);
            if (handler == null) {
                reply.completeExceptionally(MasticcroftException.notRun(ErrorCode.PEER_UNREACHABLE, "no such peer"));
            } else {
                handler.onRequest(request.build(), new LocalResponder(reply));
            }
            return reply;
        }

        @Override
        public void close() {
            handlers.clear();
        }
    }

    private record LocalResponder(CompletableFuture<Envelope> reply) implements PeerResponder {
        @Override
        public void send(Envelope.Builder message) {
            reply.complete(message.build());
        }

        @Override
        public void finish(Envelope.Builder message) {
            send(message);
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public boolean isOpen() {
            return true;
        }
    }
}
