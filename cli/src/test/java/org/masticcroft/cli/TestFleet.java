package org.masticcroft.cli;

import java.io.ByteArrayInputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.masticcroft.cli.fleet.Platform;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.time.ManualTimeSource;
import org.masticcroft.ports.config.ConfigPeerHandler;
import org.masticcroft.ports.config.ConfigTracker;
import org.masticcroft.ports.config.TrackerSettings;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.log.InMemoryLogService;
import org.masticcroft.ports.log.LogPage;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.wire.PeerCall;
import org.masticcroft.wire.PeerCallListener;
import org.masticcroft.wire.PeerClient;
import org.masticcroft.wire.PeerHandler;
import org.masticcroft.wire.PeerResponder;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.StatusReply;
import picocli.CommandLine;

/** An in-process fleet: an in-memory log, and instances that read it whenever a command sleeps. */
final class TestFleet {
    final ManualTimeSource time = ManualTimeSource.of(Instant.parse("2026-12-04T04:00:00Z"));
    final InMemoryLogService log = InMemoryLogService.of(time);
    final Map<String, ConfigTracker> trackers = new HashMap<>();
    final Map<String, StatusReply> statusReplies = new HashMap<>();
    final List<Instance> instances = new ArrayList<>();

    /** Runs once before the next append, to simulate another operator's work between the read and the append. */
    Runnable beforeAppend = () -> {};

    /** Runs after each append, whether its response arrives or not. */
    Runnable afterAppend = () -> {};

    /** Runs at each sleep of a command. */
    Runnable onSleep = () -> {};

    boolean instanceListAvailable = true;

    /** Exit code and output of one command. */
    record Run(int exitCode, String out, String err) {}

    /** Adds a live instance with a tracker that reads the log. */
    void add(String id, Optional<Instance.Upstream> upstream) {
        int port = 7000 + instances.size();
        Instance.Role role = upstream.isPresent() ? Instance.Role.SIDECAR : Instance.Role.ENTRY;
        instances.add(new Instance(id, role, "west", "w1", "127.0.0.1", 0, 0, port, Instance.State.LIVE, upstream));
        trackers.put(
                id,
                ConfigTracker.of(
                        log,
                        List::of,
                        time,
                        RandomSource.SPLIT_MIX_64.create(port),
                        TrackerSettings.of(id).withLongPoll(Duration.ZERO)));
    }

    void addEngine(String id, String upstream) {
        add(id, Optional.of(new Instance.Upstream(upstream, Instance.Kind.ENGINE, "engines")));
    }

    /** Lets all instances read the log. */
    void poll() {
        trackers.values().forEach(ConfigTracker::poll);
    }

    Run run(String... arguments) {
        return run(Map.of(), "", arguments);
    }

    Run run(Map<String, String> environment, String input, String... arguments) {
        CliContext context = new CliContext(
                environment,
                (logUrl, instancesUrl, timeout) -> new LocalPlatform(),
                time,
                this::sleep,
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)));
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        CommandLine line = Main.commandLine(context)
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err))
                .setColorScheme(CommandLine.Help.defaultColorScheme(CommandLine.Help.Ansi.OFF));
        return new Run(line.execute(arguments), out.toString(), err.toString());
    }

    private void sleep(Duration duration) {
        time.advance(duration);
        onSleep.run();
        poll();
    }

    private StatusReply statusOf(Instance instance) {
        ConfigTracker tracker = trackers.get(instance.id());
        return statusReplies.getOrDefault(instance.id(), StatusReply.getDefaultInstance()).toBuilder()
                .setInstance(instance.id())
                .setConfigVersion(tracker.version())
                .setConfigConfirmed(tracker.confirmed())
                .setConfigAgeMs(tracker.age().toMillis())
                .build();
    }

    private final class LocalPlatform implements Platform, PeerClient, LogService {
        @Override
        public LogService log() {
            return this;
        }

        @Override
        public Optional<List<Instance>> instances() {
            return instanceListAvailable ? Optional.of(List.copyOf(instances)) : Optional.empty();
        }

        @Override
        public PeerClient peers() {
            return this;
        }

        @Override
        public Duration peerTimeout() {
            return Duration.ofSeconds(1);
        }

        @Override
        public long append(String stream, byte[] data) {
            Runnable hook = beforeAppend;
            beforeAppend = () -> {};
            hook.run();
            try {
                return log.append(stream, data);
            } finally {
                afterAppend.run();
            }
        }

        @Override
        public LogPage read(String stream, long from, int max, Duration wait) {
            return log.read(stream, from, max, wait);
        }

        @Override
        public PeerCall open(InetSocketAddress address, Envelope.Builder request, PeerCallListener listener) {
            throw new UnsupportedOperationException("open");
        }

        @Override
        public CompletableFuture<Envelope> call(InetSocketAddress address, Envelope.Builder request, Duration limit) {
            Instance instance = instances.stream()
                    .filter(candidate -> candidate.peerPort() == address.getPort())
                    .findFirst()
                    .orElseThrow();
            CompletableFuture<Envelope> reply = new CompletableFuture<>();
            if (trackers.containsKey(instance.id())) {
                PeerHandler statusHandler = (message, responder) ->
                        responder.finish(Envelope.newBuilder().setStatusReply(statusOf(instance)));
                ConfigPeerHandler.of(trackers.get(instance.id()), statusHandler)
                        .onRequest(request.build(), new LocalResponder(reply));
            } else {
                reply.completeExceptionally(
                        MasticcroftException.notRun(ErrorCode.PEER_UNREACHABLE, "the instance is not running"));
            }
            return reply;
        }

        @Override
        public void close() {
            // There are no connections to close.
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
