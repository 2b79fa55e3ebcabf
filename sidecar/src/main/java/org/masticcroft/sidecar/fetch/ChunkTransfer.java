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

/** Transfers one chunk from a peer or the weight store and verifies it. Blocks the calling worker thread. */
final class ChunkTransfer {
    /** A chunk of 1 MiB takes about 10 ms within a region; a peer that takes much longer has stalled. */
    static final Duration REGION_TIMEOUT = Duration.ofSeconds(3);
    /** A chunk of 1 MiB takes about 1.2 s on 60 % of a 12 Mbit/s link, and two chunks are in transit at a time. */
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

    /** Returns the verified chunk; empty if the transfer failed. A peer that failed is avoided for a backoff time. */
    Result execute(Manifest manifest, Fetch fetch) {
        return fetch.source() instanceof Fetch.Source.PeerSource peer
                ? transferFromPeer(manifest, fetch.chunk(), peer.instance())
                : transferFromStore(manifest, fetch.chunk());
    }

    private Result transferFromStore(Manifest manifest, int chunk) {
        try {
            byte[] data = store.chunk(manifest, chunk);
            if (manifest.matches(chunk, data)) {
                return Result.of(data);
            }
            recordRejection(manifest, chunk, "store");
        } catch (MasticcroftException e) {
            if (e.code() == ErrorCode.WEIGHTS_MISMATCH) {
                recordRejection(manifest, chunk, "store");
            } else {
                EventLog.warn(Event.SOURCE_SET_BACK, "source", "store", "reason", e.getMessage());
            }
        }
        return Result.failed();
    }

    private Result transferFromPeer(Manifest manifest, int chunk, String instance) {
        Optional<PeerTable.Peer> peer = peers.find(instance);
        if (peer.isEmpty()) {
            return Result.failed();
        }
        try {
            return handleReply(manifest, chunk, instance, requestChunk(peer.get(), manifest, chunk));
        } catch (CompletionException e) {
            peers.backOff(
                    instance,
                    PeerTable.FAILURE_BACKOFF,
                    String.valueOf(e.getCause().getMessage()));
            return Result.failed();
        }
    }

    private Envelope requestChunk(PeerTable.Peer peer, Manifest manifest, int chunk) {
        Envelope.Builder request = Envelope.newBuilder()
                .setChunkRequest(ChunkRequest.newBuilder()
                        .setWeightsDigest(manifest.digest().value())
                        .setIndex(chunk));
        return client.call(peer.address(), request, peer.sameRegion() ? REGION_TIMEOUT : REMOTE_TIMEOUT)
                .join();
    }

    private Result handleReply(Manifest manifest, int chunk, String instance, Envelope reply) {
        switch (reply.getChunkReply().getStatus()) {
            case OK -> {
                byte[] data = reply.getChunkReply().getData().toByteArray();
                if (manifest.matches(chunk, data)) {
                    peers.recordSuccess(instance);
                    return Result.of(data);
                }
                recordRejection(manifest, chunk, instance);
                peers.backOff(instance, PeerTable.CORRUPT_CHUNK_BACKOFF, "corrupt-chunk");
            }
            case BUSY -> peers.recordBusy(instance);
            case MISSING -> peers.recordMissing(instance, chunk);
            default -> peers.backOff(instance, PeerTable.FAILURE_BACKOFF, "unexpected-reply");
        }
        return Result.failed();
    }

    private void recordRejection(Manifest manifest, int chunk, String source) {
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
     * @param data the verified chunk; empty if the transfer failed
     */
    record Result(Optional<byte[]> data) {
        private static Result of(byte[] data) {
            return new Result(Optional.of(data));
        }

        private static Result failed() {
            return new Result(Optional.empty());
        }
    }
}
