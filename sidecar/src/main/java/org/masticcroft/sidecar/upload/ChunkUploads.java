package org.masticcroft.sidecar.upload;

import com.codahale.metrics.MetricRegistry;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.Semaphore;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.ports.engine.EngineClient;
import org.masticcroft.ports.weights.Manifest;
import org.masticcroft.sidecar.fetch.TokenBucket;
import org.masticcroft.sidecar.target.ManifestCache;
import org.masticcroft.wire.PeerResponder;
import org.masticcroft.wire.generated.ChunkReply;
import org.masticcroft.wire.generated.ChunkRequest;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.HaveReply;
import org.masticcroft.wire.generated.HaveRequest;

/**
 * Serves bitmaps and chunks to peers. Refuses a chunk with {@code BUSY} when no upload slot is free or the bandwidth
 * limit is reached.
 */
public final class ChunkUploads {
    /** Size of the cache of served chunks; other peers request the same chunks within seconds. */
    private static final long CACHE_BYTES = 16L << 20;

    private final EngineClient engine;
    private final HeldChunks heldChunks;
    private final ManifestCache manifests;
    private final TokenBucket bandwidth;
    private final Semaphore slots;
    private final int slotCount;
    private final Executor executor;
    private final MetricRegistry metrics;
    private final Cache<Key, byte[]> cache;

    /**
     * Creates the uploads of one engine.
     *
     * @param bandwidth limit on the bytes sent
     * @param slotCount maximum number of chunks sent at the same time
     * @param executor reads chunks back from the engine; not an I/O thread
     */
    public ChunkUploads(
            EngineClient engine,
            HeldChunks heldChunks,
            ManifestCache manifests,
            TokenBucket bandwidth,
            int slotCount,
            Executor executor,
            MetricRegistry metrics) {
        this.engine = Objects.requireNonNull(engine, "engine");
        this.heldChunks = Objects.requireNonNull(heldChunks, "heldChunks");
        this.manifests = Objects.requireNonNull(manifests, "manifests");
        this.bandwidth = Objects.requireNonNull(bandwidth, "bandwidth");
        this.slots = new Semaphore(slotCount);
        this.slotCount = slotCount;
        this.executor = Objects.requireNonNull(executor, "executor");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.cache = CacheBuilder.newBuilder()
                .maximumWeight(CACHE_BYTES)
                .weigher((Key key, byte[] data) -> data.length)
                .concurrencyLevel(1)
                .build();
    }

    /** Returns the number of chunks that are being sent. */
    public int inProgress() {
        return slotCount - slots.availablePermits();
    }

    /** Replies with the bitmap of the held chunks and the number of free upload slots. */
    public void handleBitmapRequest(HaveRequest request, PeerResponder responder) {
        HaveReply.Builder reply = HaveReply.newBuilder()
                .setWeightsDigest(request.getWeightsDigest())
                .setFreeUploadSlots(slots.availablePermits());
        if (WeightsDigest.isValid(request.getWeightsDigest())) {
            byte[] bitmap = heldChunks
                    .chunks(WeightsDigest.of(request.getWeightsDigest()))
                    .toByteArray();
            reply.setBitmap(ByteString.copyFrom(bitmap));
        }
        responder.finish(Envelope.newBuilder().setHaveReply(reply));
    }

    /** Replies to a request for a chunk; the chunk is read and sent in the background. */
    public void handleChunkRequest(ChunkRequest request, PeerResponder responder) {
        if (!WeightsDigest.isValid(request.getWeightsDigest())) {
            replyStatus(responder, ChunkReply.Status.MISSING);
        } else if (!slots.tryAcquire()) {
            replyStatus(responder, ChunkReply.Status.BUSY);
        } else {
            Key key = new Key(WeightsDigest.of(request.getWeightsDigest()), request.getIndex());
            try {
                executor.execute(() -> serve(key, responder));
            } catch (RejectedExecutionException e) {
                slots.release();
                replyStatus(responder, ChunkReply.Status.BUSY);
            }
        }
    }

    private void serve(Key key, PeerResponder responder) {
        try {
            if (key.index < 0 || !heldChunks.chunks(key.digest).get(key.index)) {
                replyStatus(responder, ChunkReply.Status.MISSING);
                return;
            }
            Optional<byte[]> data = readVerified(key);
            if (data.isEmpty()) {
                replyStatus(responder, ChunkReply.Status.MISSING);
            } else if (!bandwidth.tryConsume(data.get().length)) {
                replyStatus(responder, ChunkReply.Status.BUSY);
            } else {
                metrics.counter("sidecar.upload.bytes").inc(data.get().length);
                responder.finish(Envelope.newBuilder()
                        .setChunkReply(ChunkReply.newBuilder()
                                .setStatus(ChunkReply.Status.OK)
                                .setData(UnsafeByteOperations.unsafeWrap(data.get()))));
            }
        } finally {
            slots.release();
        }
    }

    private Optional<byte[]> readVerified(Key key) {
        byte[] cached = cache.getIfPresent(key);
        if (cached != null) {
            return Optional.of(cached);
        }
        Optional<Manifest> manifest = manifests.find(key.digest);
        if (manifest.isEmpty() || key.index >= manifest.get().chunkCount()) {
            return Optional.empty();
        }
        try {
            byte[] data = engine.chunk(key.digest, key.index);
            if (!manifest.get().matches(key.index, data)) {
                metrics.counter("sidecar.upload.corrupt").inc();
                return Optional.empty();
            }
            cache.put(key, data);
            return Optional.of(data);
        } catch (MasticcroftException e) {
            return Optional.empty();
        }
    }

    private static void replyStatus(PeerResponder responder, ChunkReply.Status status) {
        responder.finish(
                Envelope.newBuilder().setChunkReply(ChunkReply.newBuilder().setStatus(status)));
    }

    private record Key(WeightsDigest digest, int index) {}
}
