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

/** Fetches configuration snapshots from peers. Safe for use by many threads. */
final class PeerConfigSource {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    /** After a publication all peers report the new version at once; the replies of a few are enough. */
    private static final int MAX_OPEN_REQUESTS = 4;

    private final Map<InetSocketAddress, Boolean> openRequests = new ConcurrentHashMap<>();
    private volatile PeerClient peerClient;

    void attach(PeerClient client) {
        this.peerClient = client;
    }

    /** Returns whether no request to this peer is open and the limit on open requests is not reached. */
    boolean canRequest(InetSocketAddress peer) {
        return !openRequests.containsKey(peer) && openRequests.size() < MAX_OPEN_REQUESTS;
    }

    /**
     * Returns the snapshot of a peer, or empty if the peer has none, does not reply or is being asked already. The
     * future never fails.
     */
    CompletableFuture<Optional<ConfigRecord.Snapshot>> fetch(InetSocketAddress peer, long minVersion) {
        PeerClient client = peerClient;
        if (client == null || openRequests.putIfAbsent(peer, true) != null) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Envelope.Builder request = Envelope.newBuilder()
                .setConfigRequest(ConfigRequest.newBuilder().setMinVersion(minVersion));
        return call(client, peer, request).handle((reply, failure) -> {
            openRequests.remove(peer);
            return failure == null ? snapshotOf(reply) : unreachable(peer, failure);
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

    private static Optional<ConfigRecord.Snapshot> snapshotOf(Envelope reply) {
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
