package org.masticcroft.sidecar.fetch;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.rollout.Fetch;
import org.masticcroft.ports.weights.Manifest;
import org.masticcroft.ports.weights.WeightSource;
import org.masticcroft.wire.PeerClient;
import org.masticcroft.wire.generated.ChunkRequest;
import org.masticcroft.wire.generated.Envelope;

/** Reads one chunk from its source and verifies it. Blocks the calling worker thread. */
final class ChunkTransfer {
    /** A chunk of 1 MiB takes about 10 ms within a region; a longer silence is a stall. */
    static final Duration REGION_TIMEOUT = Duration.ofSeconds(3);
    /** A chunk of 1 MiB takes about 1.2 s on 60 % of a link of 12 Mbit/s, and two are in transit. */
    static final Duration REMOTE_TIMEOUT = Duration.ofSeconds(10);

    private final WeightSource store;
    private final PeerClient client;
    private final PeerTable peers;
    private final MetricRegistry metrics;

    ChunkTransfer(WeightSource store, PeerClient client, PeerTable peers, MetricRegistry metrics) {
        this.store = Objects.requireNonNull(store, "store");
        this.client = Objects.requireNonNull(client, "client");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Returns the verified chunk; without data if the source failed, which has then been set back. */
    Result load(Manifest manifest, Fetch fetch) {
        return fetch.source() instanceof Fetch.Source.PeerSource peer
                ? fromPeer(manifest, fetch.chunk(), peer.instance())
                : fromStore(manifest, fetch.chunk());
    }

    private Result fromStore(Manifest manifest, int chunk) {
        try {
            byte[] data = store.chunk(manifest, chunk);
            if (manifest.matches(chunk, data)) {
                return Result.of(data);
            }
            rejected(manifest, chunk, "store");
        } catch (MasticcroftException e) {
            if (e.code() == ErrorCode.WEIGHTS_MISMATCH) {
                rejected(manifest, chunk, "store");
            } else {
                EventLog.warn(Event.SOURCE_SET_BACK, "source", "store", "reason", e.getMessage());
            }
        }
        return Result.none();
    }

    private Result fromPeer(Manifest manifest, int chunk, String instance) {
        Optional<PeerTable.Peer> peer = peers.find(instance);
        if (peer.isEmpty()) {
            return Result.none();
        }
        try {
            return accept(manifest, chunk, instance, ask(peer.get(), manifest, chunk));
        } catch (CompletionException e) {
            peers.setBack(
                    instance,
                    PeerTable.FAILURE_SET_BACK,
                    String.valueOf(e.getCause().getMessage()));
            return Result.none();
        }
    }

    private Envelope ask(PeerTable.Peer peer, Manifest manifest, int chunk) {
        Envelope.Builder request = Envelope.newBuilder()
                .setChunkRequest(ChunkRequest.newBuilder()
                        .setWeightsDigest(manifest.digest().value())
                        .setIndex(chunk));
        return client.call(peer.address(), request, peer.sameRegion() ? REGION_TIMEOUT : REMOTE_TIMEOUT)
                .join();
    }

    private Result accept(Manifest manifest, int chunk, String instance, Envelope reply) {
        switch (reply.getChunkReply().getStatus()) {
            case OK -> {
                byte[] data = reply.getChunkReply().getData().toByteArray();
                if (manifest.matches(chunk, data)) {
                    peers.succeeded(instance);
                    return Result.of(data);
                }
                rejected(manifest, chunk, instance);
                peers.setBack(instance, PeerTable.CORRUPT_SET_BACK, "corrupt-chunk");
            }
            case BUSY -> peers.busy(instance);
            case MISSING -> peers.lacks(instance, chunk);
            default -> peers.setBack(instance, PeerTable.FAILURE_SET_BACK, "unexpected-reply");
        }
        return Result.none();
    }

    private void rejected(Manifest manifest, int chunk, String source) {
        metrics.counter("sidecar.fetch.rejected").inc();
        EventLog.warn(
                Event.CHUNK_REJECTED,
                "digest",
                manifest.digest(),
                "chunk",
                chunk,
                "source",
                source,
                "reason",
                "digest-mismatch");
    }

    /**
     * Result of a transfer.
     *
     * @param data the verified chunk; empty if the source failed
     */
    record Result(Optional<byte[]> data) {
        private static Result of(byte[] data) {
            return new Result(Optional.of(data));
        }

        private static Result none() {
            return new Result(Optional.empty());
        }
    }
}
