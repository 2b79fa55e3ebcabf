package org.masticcroft.ports.config;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.masticcroft.kernel.config.ConfigRecord;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.wire.PeerClient;
import org.masticcroft.wire.generated.ConfigRequest;
import org.masticcroft.wire.generated.Envelope;

/** Asks peers for the configuration that they have. Safe for use by many threads. */
final class PeerConfigSource {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    /** After a publication every peer is ahead at the same moment; a few answers are enough. */
    private static final int MOST_REQUESTS = 4;

    private final Map<InetSocketAddress, Boolean> asked = new ConcurrentHashMap<>();
    private volatile PeerClient peers;

    void attach(PeerClient client) {
        this.peers = client;
    }

    /** Returns whether no request to that peer is open and few requests are open in total. */
    boolean isIdle(InetSocketAddress peer) {
        return !asked.containsKey(peer) && asked.size() < MOST_REQUESTS;
    }

    /** Returns the snapshot that a peer offers; empty if it has none or does not answer. Never fails. */
    CompletableFuture<Optional<ConfigRecord.Snapshot>> ask(InetSocketAddress peer, long minVersion) {
        PeerClient client = peers;
        if (client == null || asked.putIfAbsent(peer, true) != null) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Envelope.Builder request = Envelope.newBuilder()
                .setConfigRequest(ConfigRequest.newBuilder().setMinVersion(minVersion));
        return call(client, peer, request).handle((reply, failure) -> {
            asked.remove(peer);
            return failure == null ? snapshotIn(reply) : unreachable(peer, failure);
        });
    }

    private static CompletableFuture<Envelope> call(
            PeerClient client, InetSocketAddress peer, Envelope.Builder request) {
        try {
            return client.call(peer, request, TIMEOUT);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static Optional<ConfigRecord.Snapshot> snapshotIn(Envelope reply) {
        return reply.hasConfigReply() && !reply.getConfigReply().getSnapshot().isEmpty()
                ? ConfigRecord.decode(reply.getConfigReply().getSnapshot().toByteArray())
                        .filter(ConfigRecord.Snapshot.class::isInstance)
                        .map(ConfigRecord.Snapshot.class::cast)
                : Optional.empty();
    }

    private static Optional<ConfigRecord.Snapshot> unreachable(InetSocketAddress peer, Throwable failure) {
        EventLog.warn(Event.PEER_UNREACHABLE, "peer", peer, "request", "config", "reason", failure.getMessage());
        return Optional.empty();
    }
}
