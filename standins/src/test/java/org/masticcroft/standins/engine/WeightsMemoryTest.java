package org.masticcroft.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.standins.digest.Sha256;

class WeightsMemoryTest {
    private static final byte[] FIRST = {1, 2, 3};
    private static final byte[] SECOND = {4, 5};
    private static final List<String> CHUNKS = List.of(Sha256.hex(FIRST), Sha256.hex(SECOND));
    private static final String DIGEST = Sha256.weightsDigest(CHUNKS);

    private final WeightsMemory memory = WeightsMemory.of(8, true);

    @Nested
    class Loading {
        /** Guards against an engine that hides a partial rollout by loading it. */
        @Test
        void refusesMissingAndDifferentChunks() {
            memory.stage(DIGEST, 0, FIRST);
            assertThat(memory.load("m", "v", DIGEST, CHUNKS)).isEqualTo(WeightsMemory.Result.INCOMPLETE);
            memory.stage(DIGEST, 1, FIRST);
            assertThat(memory.load("m", "v", DIGEST, CHUNKS)).isEqualTo(WeightsMemory.Result.INCOMPLETE);
            memory.stage(DIGEST, 1, SECOND);
            assertThat(memory.load("m", "v", DIGEST, CHUNKS)).isEqualTo(WeightsMemory.Result.DONE);
            assertThat(memory.isLoaded(DIGEST)).isTrue();
        }

        /** Guards against an engine without verification reporting a digest that its content does not have. */
        @Test
        void withoutVerificationReportsTheDigestOfItsContent() {
            WeightsMemory trusting = WeightsMemory.of(100, false);
            trusting.stage(DIGEST, 0, FIRST);
            trusting.stage(DIGEST, 1, FIRST);
            assertThat(trusting.load("m", "v", DIGEST, CHUNKS)).isEqualTo(WeightsMemory.Result.DONE);
            assertThat(trusting.isLoaded(DIGEST)).isFalse();
            assertThat(trusting.isLoaded(Sha256.weightsDigest(List.of(Sha256.hex(FIRST), Sha256.hex(FIRST)))))
                    .isTrue();
        }
    }

    @Nested
    class Staging {
        /** Guards against a rollout that fits only because the bound is not kept. */
        @Test
        void refusesChunksBeyondTheBound() {
            assertThat(memory.stage("sha256:a", 0, new byte[6])).isPresent();
            assertThat(memory.stage("sha256:b", 0, new byte[3])).isEmpty();
            memory.dropStaged("sha256:a");
            assertThat(memory.stage("sha256:b", 0, new byte[3])).isPresent();
        }
    }
}
