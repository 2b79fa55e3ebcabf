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

    private void advanceAndPoll(ConfigTracker target, Duration step, int times) {
        for (int i = 0; i < times; i++) {
            time.advance(step);
            target.poll();
        }
    }

    private ConfigTracker addPeerAtVersion(int version) {
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
    class Polling {
        /** Guards against a version that does not take effect, or that listeners receive twice or out of order. */
        @Test
        void appliesVersionsInOrderAndNotifiesListenersOnce() {
            List<Long> notified = new ArrayList<>();
            tracker.addListener(state -> notified.add(state.version()));
            publish(0, "a");
            tracker.poll();
            publish(0, "void");
            log.append(Streams.CONFIG, new byte[] {1});
            tracker.poll();
            publish(1, "b");
            tracker.poll();
            tracker.poll();
            assertThat(notified).containsExactly(1L, 2L);
            assertThat(tracker.state().config().drained()).containsExactly("b");
        }

        /** Guards against a listener whose failure stops the tracker. */
        @Test
        void continuesWhenAListenerFails() {
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
        /** Guards against a configuration that stays confirmed although the log cannot be read. */
        @Test
        void expiresDuringAnOutageAndReturns() {
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

        /** Guards against a confirmed reader that lacks the base of the updates in the log and so cannot apply them. */
        @Test
        void requiresAKnownVersion() {
            publish(0, "a");
            publish(1, "b");
            log.dropBefore(Streams.CONFIG, 1);
            tracker.poll();
            assertThat(tracker.available()).isFalse();
            assertThat(tracker.confirmed()).isFalse();
        }

        /** Guards against a snapshot of a peer that confirms the configuration as a read of the log does. */
        @Test
        void doesNotComeFromPeers() {
            addPeerAtVersion(3);
            log.setAvailable(false);
            tracker.poll();
            assertThat(tracker.version()).isEqualTo(3);
            assertThat(tracker.confirmed()).isFalse();
        }
    }

    @Nested
    class Peers {
        /** Guards against a process that starts during an outage of the log and has nothing to serve. */
        @Test
        void provideTheConfigurationWhileTheLogIsDown() {
            addPeerAtVersion(2);
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
        void provideTheBaseOfUpdatesWhenTheStartHasExpired() {
            ConfigTracker peer = addPeerAtVersion(2);
            publish(2, "c");
            log.dropBefore(Streams.CONFIG, 2);
            tracker.poll();
            assertThat(tracker.version()).isEqualTo(3);
            tracker.poll();
            assertThat(tracker.confirmed()).isTrue();
            assertThat(peer.version()).isEqualTo(2);
        }

        /** Guards against a reported newer version that is not fetched, or is fetched again when it is in force. */
        @Test
        void areAskedWhenTheyReportANewerVersion() {
            addPeerAtVersion(2);
            log.setAvailable(false);
            tracker.observeVersion(2, PEER);
            assertThat(tracker.version()).isEqualTo(2);
            tracker.observeVersion(1, PEER);
            tracker.observeVersion(2, PEER);
            assertThat(peers.calls).isEqualTo(1);
        }

        /** Guards against a failed request to a peer that blocks later requests to it. */
        @Test
        void areAskedAgainAfterAFailure() {
            tracker.observeVersion(2, PEER);
            assertThat(tracker.version()).isZero();
            addPeerAtVersion(2);
            tracker.observeVersion(2, PEER);
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

        /** Guards against a configuration that expires from the log because it is not updated. */
        @Test
        void keepTheConfigurationReadablePastRetention() {
            advanceAndPoll(publisher, Duration.ofMinutes(5), 12 * 20);
            tracker.poll();
            assertThat(log.records(Streams.CONFIG).get(0).offset()).isPositive();
            assertThat(tracker.version()).isEqualTo(1);
            assertThat(tracker.confirmed()).isTrue();
        }

        /** Guards against a stream that has no retained snapshot because frequent updates postpone it. */
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
            SynchronousReadersLog sharedLog = new SynchronousReadersLog(log);
            List<ConfigTracker> entries = Stream.of(7L, 8L, 9L, 10L)
                    .map(seed -> ConfigTracker.of(
                            sharedLog,
                            () -> instances,
                            time,
                            RandomSource.SPLIT_MIX_64.create(seed),
                            TrackerSettings.of("entry-" + seed)
                                    .withLogRetention(RETENTION)
                                    .withLongPoll(Duration.ZERO)))
                    .toList();
            for (int second = 0; second < 4000; second++) {
                time.advance(Duration.ofSeconds(1));
                sharedLog.end = log.read(Streams.CONFIG, 0, 1, Duration.ZERO).next();
                entries.forEach(ConfigTracker::poll);
            }
            assertThat(snapshots()).isEqualTo(1);
        }

        /** Guards against a snapshot that is appended before it is due. */
        @Test
        void areNotAppendedEarly() {
            advanceAndPoll(publisher, Duration.ofMinutes(1), 60);
            assertThat(snapshots()).isZero();
        }
    }

    /** A log whose readers see only the records before {@code end}, like readers that poll at the same moment. */
    private static final class SynchronousReadersLog implements LogService {
        private final LogService delegate;
        private long end;

        private SynchronousReadersLog(LogService delegate) {
            this.delegate = delegate;
        }

        @Override
        public long append(String stream, byte[] data) {
            return delegate.append(stream, data);
        }

        @Override
        public LogPage read(String stream, long from, int max, Duration wait) {
            LogPage page = delegate.read(stream, from, max, wait);
            List<LogRecord> visible = page.records().stream()
                    .filter(logRecord -> logRecord.offset() < end)
                    .toList();
            return new LogPage(page.earliest(), end, visible);
        }
    }

    /** Peers in this process; a peer without a handler is unreachable. */
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
