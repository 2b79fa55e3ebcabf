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
    private static final Duration SHORT = Duration.ofSeconds(4);
    private static final Duration LONG = Duration.ofSeconds(40);

    private final Fixture fixture = new Fixture();
    private final Weights first = Weights.generate("v1", CHUNKS);
    private final Weights second = Weights.generate("v2", CHUNKS);

    /** A peer that holds all chunks and passes each through {@code change}; empty kills the peer. */
    private Function<Envelope, Optional<Envelope>> peer(Weights weights, Function<byte[], Optional<byte[]>> change) {
        BitSet all = new BitSet();
        all.set(0, CHUNKS);
        return request -> request.hasHaveRequest()
                ? Optional.of(Envelope.newBuilder()
                        .setHaveReply(HaveReply.newBuilder()
                                .setWeightsDigest(weights.manifest().digest().value())
                                .setBitmap(ByteString.copyFrom(all.toByteArray()))
                                .setFreeUploadSlots(4))
                        .build())
                : change.apply(weights.chunks()
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
        /** Guards against drawing from the store what a peer of the region holds. */
        @Test
        void fetchesFromPeerBeforeStore() {
            fixture.deploy(first);
            fixture.addPeer("s-2", 2, peer(first, Optional::of));
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT);
            assertThat(sidecar.reconciler.ready()).isTrue();
            assertThat(fixture.store.drawn).isEmpty();
        }

        /** Guards against loading a chunk that a peer corrupted. */
        @Test
        void rejectsCorruptChunkFromPeer() {
            fixture.deploy(first);
            fixture.addPeer("s-2", 2, peer(first, data -> {
                data[0] ^= 1;
                return Optional.of(data);
            }));
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(LONG);
            assertThat(fixture.metrics.counter("sidecar.fetch.rejected").getCount())
                    .isPositive();
            assertThat(sidecar.reconciler.ready()).isTrue();
            assertThat(fixture.engine.puts).isEqualTo(CHUNKS);
        }

        /** Guards against loading a chunk that the store corrupted. */
        @Test
        void rejectsCorruptChunkFromStore() {
            fixture.deploy(first);
            fixture.store.corruptNext = 3;
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT);
            assertThat(fixture.metrics.counter("sidecar.fetch.rejected").getCount())
                    .isEqualTo(3);
            assertThat(sidecar.reconciler.ready()).isTrue();
            assertThat(fixture.engine.puts).isEqualTo(CHUNKS);
        }

        /** Guards against a rollout that stops when its source dies in mid-transfer. */
        @Test
        void continuesFromStoreWhenPeerDies() {
            fixture.deploy(first);
            int[] served = {0};
            fixture.addPeer("s-2", 2, peer(first, data -> served[0]++ < 3 ? Optional.of(data) : Optional.empty()));
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT);
            assertThat(fixture.engine.stagedChunks(digest(first))).isGreaterThanOrEqualTo(3);
            assertThat(sidecar.run(LONG).reconciler.ready()).isTrue();
        }

        /** Guards against an engine whose staging area stored other bytes than were sent. */
        @Test
        void stagesAgainWhenEngineStoredOtherBytes() {
            fixture.deploy(first);
            fixture.engine.corruptNextPuts = 2;
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT);
            assertThat(sidecar.reconciler.ready()).isTrue();
            assertThat(fixture.engine.commands).containsExactly("load");
        }
    }

    @Nested
    class Changes {
        /** Guards against mixing versions, and against fetching again what is staged, when an operator goes back. */
        @Test
        void resumesAfterVersionChangeAndBack() {
            fixture.deploy(first);
            fixture.store.failAfter = 5;
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT);
            fixture.deploy(second);
            sidecar.run(SHORT);
            fixture.store.failAfter = Integer.MAX_VALUE;
            fixture.deploy(first);
            sidecar.run(SHORT);
            assertThat(sidecar.reconciler.ready()).isTrue();
            assertThat(fixture.store.drawn).hasSize(CHUNKS).doesNotHaveDuplicates();
        }

        /** Guards against unloading the old version before the new one serves, and against keeping it afterwards. */
        @Test
        void replacesOldVersionAfterNewOneIsLoaded() {
            fixture.deploy(first);
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT);
            fixture.deploy(second);
            fixture.store.failAfter = CHUNKS + 4;
            sidecar.run(SHORT);
            assertThat(fixture.engine.isLoaded(digest(first))).isTrue();
            assertThat(sidecar.reconciler.ready()).isFalse();
            fixture.store.failAfter = Integer.MAX_VALUE;
            sidecar.run(SHORT);
            assertThat(fixture.engine.isLoaded(digest(first))).isFalse();
            assertThat(sidecar.reconciler.ready()).isTrue();
        }

        /** Guards against unloading weights that a running request uses. */
        @Test
        void keepsWeightsInUse() {
            fixture.deploy(first);
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT);
            assertThat(sidecar.use.tryAcquire(digest(first))).isTrue();
            fixture.deploy(second);
            sidecar.run(SHORT);
            assertThat(fixture.engine.isLoaded(digest(first))).isTrue();
            sidecar.use.release(digest(first));
            sidecar.run(SHORT);
            assertThat(fixture.engine.isLoaded(digest(first))).isFalse();
        }

        /** Guards against unloading weights under a running request for lack of memory, and against never starting. */
        @Test
        void letsRunningRequestsFinishBeforeMakingRoom() {
            fixture.engine.memoryBytes = 6 * CHUNKS;
            fixture.deploy(first);
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT);
            assertThat(sidecar.use.tryAcquire(digest(first))).isTrue();
            fixture.deploy(second);
            sidecar.run(SHORT);
            assertThat(fixture.engine.isLoaded(digest(first))).isTrue();
            assertThat(sidecar.use.tryAcquire(digest(first))).isFalse();
            sidecar.use.release(digest(first));
            assertThat(sidecar.run(LONG).reconciler.ready()).isTrue();
        }

        /** Guards against commands under a configuration that may be out of date. */
        @Test
        void givesNoCommandWhileUnconfirmed() {
            fixture.deploy(first);
            fixture.config.age = Duration.ofSeconds(6);
            fixture.sidecar("a").run(SHORT);
            assertThat(fixture.engine.commands).isEmpty();
        }
    }

    @Nested
    class Restarts {
        /** Guards against reporting ready, or loading, what a restarted engine has lost. */
        @Test
        void fetchesAgainWhenEngineRestartsDuringLoad() {
            fixture.deploy(first);
            fixture.engine.beforeLoad = () -> {
                fixture.engine.beforeLoad = () -> {};
                fixture.engine.restart();
            };
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT.multipliedBy(2));
            assertThat(sidecar.reconciler.ready()).isTrue();
            assertThat(fixture.store.drawn).hasSize(2 * CHUNKS);
        }

        /** Guards against counting chunks as staged that the engine lost in a restart. */
        @Test
        void fetchesAgainWhenEngineRestartsDuringFetch() {
            fixture.deploy(first);
            fixture.store.failAfter = 5;
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT);
            fixture.engine.restart();
            fixture.store.failAfter = Integer.MAX_VALUE;
            assertThat(sidecar.run(SHORT).reconciler.ready()).isTrue();
            assertThat(fixture.store.drawn).hasSize(5 + CHUNKS);
        }

        @Test
        void isNotReadyAfterEngineRestartUntilLoadedAgain() {
            fixture.deploy(first);
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT);
            fixture.engine.restart();
            sidecar.reconciler.run();
            assertThat(sidecar.reconciler.ready()).isFalse();
            assertThat(sidecar.run(SHORT).reconciler.ready()).isTrue();
        }

        /** Guards against a second download after a sidecar restart, and against trusting a staged chunk unread. */
        @Test
        void resumesFromVerifiedStagedChunks() {
            fixture.deploy(first);
            fixture.store.failAfter = 6;
            fixture.sidecar("a").run(SHORT);
            fixture.store.failAfter = Integer.MAX_VALUE;
            int corrupt = fixture.store.drawn.get(0);
            fixture.engine.corruptNextPuts = 1;
            fixture.engine.putChunk(
                    digest(first), corrupt, first.chunks().get(corrupt).clone());
            Fixture.Sidecar successor = fixture.sidecar("b").run(SHORT);
            assertThat(successor.reconciler.ready()).isTrue();
            assertThat(fixture.store.drawn).hasSize(CHUNKS + 1);
        }
    }

    @Nested
    class TwoHolders {
        /** Guards against a paused predecessor that sends a load on an engine that checks tokens. */
        @Test
        void engineThatHonoursFencingRejectsLateLoad() {
            Fixture.Sidecar old = lateLoad(true);
            assertThat(fixture.engine.isLoaded(digest(first))).isFalse();
            assertThat(fixture.engine.isLoaded(digest(second))).isTrue();
            assertThat(old.lease.superseded()).isTrue();
        }

        /** Guards against a late load that stays, or replaces what requests name, on an engine that ignores tokens. */
        @Test
        void successorRemovesLateLoadOnEngineThatIgnoresFencing() {
            lateLoad(false);
            assertThat(fixture.engine.isLoaded(digest(first))).isTrue();
            assertThat(fixture.engine.isLoaded(digest(second))).isTrue();
            successor.run(SHORT);
            assertThat(fixture.engine.isLoaded(digest(first))).isFalse();
            assertThat(fixture.engine.isLoaded(digest(second))).isTrue();
        }

        /** Guards against commands of a holder that has been replaced. */
        @Test
        void supersededHolderGivesNoCommand() {
            fixture.deploy(first);
            Fixture.Sidecar old = fixture.sidecar("a").run(SHORT);
            fixture.sidecar("b").run(SHORT);
            fixture.deploy(second);
            old.run(SHORT);
            assertThat(old.lease.superseded()).isTrue();
            assertThat(fixture.engine.commands).containsExactly("load");
            assertThat(fixture.engine.stagedChunks(digest(second))).isZero();
        }

        private Fixture.Sidecar successor;

        /** The old holder passes the check of the log, is paused, and sends its load after its successor's. */
        private Fixture.Sidecar lateLoad(boolean honoured) {
            fixture.engine.honoursFencing = honoured;
            fixture.deploy(first);
            Fixture.Sidecar old = fixture.sidecar("a");
            fixture.engine.beforeLoad = () -> {
                fixture.engine.beforeLoad = () -> {};
                fixture.deploy(second);
                successor = fixture.sidecar("b").run(SHORT);
                // The staging area still holds the old version when the late command arrives.
                for (int i = 0; i < CHUNKS; i++) {
                    fixture.engine.putChunk(digest(first), i, first.chunks().get(i));
                }
            };
            return old.run(SHORT);
        }
    }

    @Nested
    class Audit {
        /** Guards against commands without a record in the account. */
        @Test
        void recordsLeaseLoadAndUnload() {
            fixture.deploy(first);
            Fixture.Sidecar sidecar = fixture.sidecar("a").run(SHORT);
            fixture.deploy(second);
            sidecar.run(SHORT);
            assertThat(fixture.records.stream().map(ChangeRecord.class::cast).map(ChangeRecord::kind))
                    .containsSubsequence("lease-acquired", "engine-load", "engine-load", "engine-unload");
        }
    }
}
