package org.masticcroft.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.BitSet;
import java.util.Optional;
import java.util.function.Function;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.account.record.ChangeRecord;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.wire.generated.ChunkReply;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.HaveReply;

class RolloutTest {
    private static final int CHUNKS = 12;
    private static final Duration SHORT_RUN = Duration.ofSeconds(4);
    private static final Duration LONG_RUN = Duration.ofSeconds(40);

    private final Fixture fixture = new Fixture();
    private final Weights first = Weights.generate("v1", CHUNKS);
    private final Weights second = Weights.generate("v2", CHUNKS);

    /** Returns a peer that holds all chunks and sends each after {@code transform}; an empty result fails the call. */
    private Function<Envelope, Optional<Envelope>> peer(Weights weights, Function<byte[], Optional<byte[]>> transform) {
        BitSet allChunks = new BitSet();
        allChunks.set(0, CHUNKS);
        return request -> request.hasHaveRequest()
                ? Optional.of(Envelope.newBuilder()
                        .setHaveReply(HaveReply.newBuilder()
                                .setWeightsDigest(weights.manifest().digest().value())
                                .setBitmap(ByteString.copyFrom(allChunks.toByteArray()))
                                .setFreeUploadSlots(4))
                        .build())
                : transform
                        .apply(weights.chunks()
                                .get(request.getChunkRequest().getIndex())
                                .clone())
                        .map(data -> Envelope.newBuilder()
                                .setChunkReply(ChunkReply.newBuilder()
                                        .setStatus(ChunkReply.Status.OK)
                                        .setData(ByteString.copyFrom(data)))
                                .build());
    }

    private static WeightsDigest digest(Weights weights) {
        return weights.manifest().digest();
    }

    @Nested
    class Sources {
        /** Guards against fetching chunks from the store that a peer of the region holds. */
        @Test
        void fetchesFromPeerBeforeStore() {
            fixture.deploy(first);
            fixture.addPeer("s-2", 2, peer(first, Optional::of));
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT_RUN);
            assertThat(sidecar.reconciler.ready()).isTrue();
            assertThat(fixture.store.fetchedChunks).isEmpty();
        }

        /** Guards against loading a chunk that a peer corrupted. */
        @Test
        void rejectsCorruptChunkFromPeer() {
            fixture.deploy(first);
            fixture.addPeer("s-2", 2, peer(first, data -> {
                data[0] ^= 1;
                return Optional.of(data);
            }));
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(LONG_RUN);
            assertThat(fixture.metrics.counter("sidecar.fetch.rejected").getCount())
                    .isPositive();
            assertThat(sidecar.reconciler.ready()).isTrue();
            assertThat(fixture.engine.puts).isEqualTo(CHUNKS);
        }

        /** Guards against loading a chunk that the store corrupted. */
        @Test
        void rejectsCorruptChunkFromStore() {
            fixture.deploy(first);
            fixture.store.corruptNextReads = 3;
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT_RUN);
            assertThat(fixture.metrics.counter("sidecar.fetch.rejected").getCount())
                    .isEqualTo(3);
            assertThat(sidecar.reconciler.ready()).isTrue();
            assertThat(fixture.engine.puts).isEqualTo(CHUNKS);
        }

        /** Guards against a rollout that stalls when the source fails during the transfer. */
        @Test
        void continuesFromStoreWhenPeerDies() {
            fixture.deploy(first);
            int[] served = {0};
            fixture.addPeer("s-2", 2, peer(first, data -> served[0]++ < 3 ? Optional.of(data) : Optional.empty()));
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT_RUN);
            assertThat(fixture.engine.stagedChunks(digest(first))).isGreaterThanOrEqualTo(3);
            assertThat(sidecar.run(LONG_RUN).reconciler.ready()).isTrue();
        }

        /** Guards against loading chunks that the engine corrupted when it staged them. */
        @Test
        void stagesAgainWhenEngineStoredCorruptChunk() {
            fixture.deploy(first);
            fixture.engine.corruptNextPuts = 2;
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT_RUN);
            assertThat(sidecar.reconciler.ready()).isTrue();
            assertThat(fixture.engine.commands).containsExactly("load");
        }
    }

    @Nested
    class Changes {
        /** Guards against mixing versions, and against fetching staged chunks again, when an operator rolls back. */
        @Test
        void resumesFetchAfterRollback() {
            fixture.deploy(first);
            fixture.store.failAfterReads = 5;
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT_RUN);
            fixture.deploy(second);
            sidecar.run(SHORT_RUN);
            fixture.store.failAfterReads = Integer.MAX_VALUE;
            fixture.deploy(first);
            sidecar.run(SHORT_RUN);
            assertThat(sidecar.reconciler.ready()).isTrue();
            assertThat(fixture.store.fetchedChunks).hasSize(CHUNKS).doesNotHaveDuplicates();
        }

        /** Guards against unloading the old version before the new one serves, and against keeping it afterwards. */
        @Test
        void replacesOldVersionAfterNewOneIsLoaded() {
            fixture.deploy(first);
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT_RUN);
            fixture.deploy(second);
            fixture.store.failAfterReads = CHUNKS + 4;
            sidecar.run(SHORT_RUN);
            assertThat(fixture.engine.isLoaded(digest(first))).isTrue();
            assertThat(sidecar.reconciler.ready()).isFalse();
            fixture.store.failAfterReads = Integer.MAX_VALUE;
            sidecar.run(SHORT_RUN);
            assertThat(fixture.engine.isLoaded(digest(first))).isFalse();
            assertThat(sidecar.reconciler.ready()).isTrue();
        }

        /** Guards against unloading weights that a running request uses. */
        @Test
        void keepsWeightsInUse() {
            fixture.deploy(first);
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT_RUN);
            assertThat(sidecar.weightsUsage.tryAcquire(digest(first))).isTrue();
            fixture.deploy(second);
            sidecar.run(SHORT_RUN);
            assertThat(fixture.engine.isLoaded(digest(first))).isTrue();
            sidecar.weightsUsage.release(digest(first));
            sidecar.run(SHORT_RUN);
            assertThat(fixture.engine.isLoaded(digest(first))).isFalse();
        }

        /**
         * Guards against unloading weights in use when the memory suffices for one version only, and against a rollout
         * that never starts because new requests keep the old weights in use.
         */
        @Test
        void waitsForRunningRequestsBeforeUnloadingForMemory() {
            fixture.engine.memoryBytes = 6 * CHUNKS;
            fixture.deploy(first);
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT_RUN);
            assertThat(sidecar.weightsUsage.tryAcquire(digest(first))).isTrue();
            fixture.deploy(second);
            sidecar.run(SHORT_RUN);
            assertThat(fixture.engine.isLoaded(digest(first))).isTrue();
            assertThat(sidecar.weightsUsage.tryAcquire(digest(first))).isFalse();
            sidecar.weightsUsage.release(digest(first));
            assertThat(sidecar.run(LONG_RUN).reconciler.ready()).isTrue();
        }

        /** Guards against commands based on a configuration that may be out of date. */
        @Test
        void sendsNoCommandWhileConfigurationIsUnconfirmed() {
            fixture.deploy(first);
            fixture.config.age = Duration.ofSeconds(6);
            fixture.sidecar("a").run(SHORT_RUN);
            assertThat(fixture.engine.commands).isEmpty();
        }
    }

    @Nested
    class Restarts {
        /** Guards against reporting weights as ready, or loading them, after the engine lost them in a restart. */
        @Test
        void fetchesAgainWhenEngineRestartsDuringLoad() {
            fixture.deploy(first);
            fixture.engine.beforeLoad = () -> {
                fixture.engine.beforeLoad = () -> {};
                fixture.engine.restart();
            };
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT_RUN.multipliedBy(2));
            assertThat(sidecar.reconciler.ready()).isTrue();
            assertThat(fixture.store.fetchedChunks).hasSize(2 * CHUNKS);
        }

        /** Guards against counting chunks as staged that the engine lost in a restart. */
        @Test
        void fetchesAgainWhenEngineRestartsDuringFetch() {
            fixture.deploy(first);
            fixture.store.failAfterReads = 5;
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT_RUN);
            fixture.engine.restart();
            fixture.store.failAfterReads = Integer.MAX_VALUE;
            assertThat(sidecar.run(SHORT_RUN).reconciler.ready()).isTrue();
            assertThat(fixture.store.fetchedChunks).hasSize(5 + CHUNKS);
        }

        @Test
        void isNotReadyAfterEngineRestartUntilLoadedAgain() {
            fixture.deploy(first);
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT_RUN);
            fixture.engine.restart();
            sidecar.reconciler.run();
            assertThat(sidecar.reconciler.ready()).isFalse();
            assertThat(sidecar.run(SHORT_RUN).reconciler.ready()).isTrue();
        }

        /**
         * Guards against fetching staged chunks again after a restart of the sidecar, and against using them
         * unverified.
         */
        @Test
        void resumesFromVerifiedStagedChunks() {
            fixture.deploy(first);
            fixture.store.failAfterReads = 6;
            fixture.sidecar("a").run(SHORT_RUN);
            fixture.store.failAfterReads = Integer.MAX_VALUE;
            int corrupt = fixture.store.fetchedChunks.get(0);
            fixture.engine.corruptNextPuts = 1;
            fixture.engine.putChunk(
                    digest(first), corrupt, first.chunks().get(corrupt).clone());
            Fixture.Sidecar successor = fixture.sidecar("b").run(SHORT_RUN);
            assertThat(successor.reconciler.ready()).isTrue();
            assertThat(fixture.store.fetchedChunks).hasSize(CHUNKS + 1);
        }
    }

    @Nested
    class SupersededLease {
        /** Guards against a late load from a paused predecessor, on an engine that checks fencing tokens. */
        @Test
        void engineThatHonoursFencingRejectsLateLoad() {
            Fixture.Sidecar predecessor = lateLoad(true);
            assertThat(fixture.engine.isLoaded(digest(first))).isFalse();
            assertThat(fixture.engine.isLoaded(digest(second))).isTrue();
            assertThat(predecessor.lease.superseded()).isTrue();
        }

        /**
         * Guards against a late load that stays or replaces the weights in service, on an engine that ignores fencing
         * tokens.
         */
        @Test
        void successorRemovesLateLoadOnEngineThatIgnoresFencing() {
            lateLoad(false);
            assertThat(fixture.engine.isLoaded(digest(first))).isTrue();
            assertThat(fixture.engine.isLoaded(digest(second))).isTrue();
            successor.run(SHORT_RUN);
            assertThat(fixture.engine.isLoaded(digest(first))).isFalse();
            assertThat(fixture.engine.isLoaded(digest(second))).isTrue();
        }

        /** Guards against commands from a superseded lease holder. */
        @Test
        void supersededHolderSendsNoCommand() {
            fixture.deploy(first);
            Fixture.Sidecar predecessor = fixture.sidecar("a").run(SHORT_RUN);
            fixture.sidecar("b").run(SHORT_RUN);
            fixture.deploy(second);
            predecessor.run(SHORT_RUN);
            assertThat(predecessor.lease.superseded()).isTrue();
            assertThat(fixture.engine.commands).containsExactly("load");
            assertThat(fixture.engine.stagedChunks(digest(second))).isZero();
        }

        private Fixture.Sidecar successor;

        /** Pauses a lease holder after its lease check, until its successor has sent a load; the late load follows. */
        private Fixture.Sidecar lateLoad(boolean honoursFencing) {
            fixture.engine.honoursFencing = honoursFencing;
            fixture.deploy(first);
            Fixture.Sidecar predecessor = fixture.sidecar("a");
            fixture.engine.beforeLoad = () -> {
                fixture.engine.beforeLoad = () -> {};
                fixture.deploy(second);
                successor = fixture.sidecar("b").run(SHORT_RUN);
                // The staging area still holds the first version when the late command arrives.
                for (int i = 0; i < CHUNKS; i++) {
                    fixture.engine.putChunk(digest(first), i, first.chunks().get(i));
                }
            };
            return predecessor.run(SHORT_RUN);
        }
    }

    @Nested
    class Audit {
        /** Guards against commands that are not recorded in the account. */
        @Test
        void recordsLeaseLoadAndUnload() {
            fixture.deploy(first);
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT_RUN);
            fixture.deploy(second);
            sidecar.run(SHORT_RUN);
            assertThat(fixture.records.stream().map(ChangeRecord.class::cast).map(ChangeRecord::kind))
                    .containsSubsequence("lease-acquired", "engine-load", "engine-load", "engine-unload");
        }
    }
}
