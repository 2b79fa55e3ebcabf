package org.masticcroft.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.time.ManualTimeSource;
import org.masticcroft.sidecar.fetch.TokenBucket;
import org.masticcroft.sidecar.target.ManifestCache;
import org.masticcroft.sidecar.target.Target;
import org.masticcroft.sidecar.upload.ChunkUploads;
import org.masticcroft.sidecar.upload.HeldChunks;
import org.masticcroft.wire.PeerResponder;
import org.masticcroft.wire.generated.ChunkReply;
import org.masticcroft.wire.generated.ChunkRequest;
import org.masticcroft.wire.generated.Envelope;

class UploadTest {
    /**
     * Guards against traffic above the limit: in any interval the bucket admits at most what the rate allows, plus one
     * burst and one transfer.
     */
    @Property(tries = 200)
    void tokenBucketNeverExceedsItsRate(
            @ForAll @Size(max = 60) List<@IntRange(min = 1, max = 3000) Integer> transfers,
            @ForAll @IntRange(min = 0, max = 900) int stepMillis) {
        ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
        TokenBucket bucket = TokenBucket.of(time, 1000);
        long admittedBytes = 0;
        long largestTransfer = 0;
        for (int bytes : transfers) {
            admittedBytes += bucket.tryConsume(bytes) ? bytes : 0;
            largestTransfer = Math.max(largestTransfer, bytes);
            time.advance(Duration.ofMillis(stepMillis));
        }
        assertThat(admittedBytes).isLessThanOrEqualTo((long) stepMillis * transfers.size() + 1000 + largestTransfer);
    }

    /** Guards against serving corrupt chunks, and against more concurrent uploads than there are slots. */
    @Test
    void refusesWithoutFreeSlotAndWhenEngineReturnsCorruptChunk() {
        Fixture fixture = new Fixture();
        Weights weights = Weights.generate("v1", 4);
        fixture.deploy(weights);
        Fixture.Sidecar sidecar = fixture.sidecar("a").run(Duration.ofSeconds(4));
        ManifestCache manifests = ManifestCache.of(fixture.store, Runnable::run, fixture.time);
        Target.of(fixture.config.state.config(), "g").forEach(manifests::request);
        List<Runnable> queuedTasks = new ArrayList<>();
        ChunkUploads uploads = new ChunkUploads(
                fixture.engine,
                HeldChunks.of(sidecar.monitor, manifests, sidecar.fetcher),
                manifests,
                TokenBucket.of(fixture.time, 1000),
                2,
                queuedTasks::add,
                fixture.metrics);
        fixture.engine.corruptNextPuts = 1;
        fixture.engine.putChunk(weights.manifest().digest(), 1, weights.chunks().get(1));
        List<ChunkReply> replies = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            uploads.handleChunkRequest(
                    ChunkRequest.newBuilder()
                            .setWeightsDigest(weights.manifest().digest().value())
                            .setIndex(index)
                            .build(),
                    new ReplyCollector(replies));
        }
        queuedTasks.forEach(Runnable::run);
        assertThat(replies.stream().map(ChunkReply::getStatus))
                .containsExactly(ChunkReply.Status.BUSY, ChunkReply.Status.OK, ChunkReply.Status.MISSING);
        assertThat(uploads.inProgress()).isZero();
    }

    private record ReplyCollector(List<ChunkReply> replies) implements PeerResponder {
        @Override
        public void send(Envelope.Builder reply) {
            replies.add(reply.getChunkReply());
        }

        @Override
        public void finish(Envelope.Builder reply) {
            send(reply);
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
