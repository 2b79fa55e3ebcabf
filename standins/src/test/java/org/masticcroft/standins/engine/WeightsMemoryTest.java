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
        /** Guards against an engine that loads incomplete or different weights, which would hide a partial rollout. */
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

        /**
         * Guards against an engine without verification that reports the named digest instead of that of its content.
         */
        @Test
        void withoutVerificationReportsTheDigestOfItsContent() {
            WeightsMemory unverified = WeightsMemory.of(100, false);
            unverified.stage(DIGEST, 0, FIRST);
            unverified.stage(DIGEST, 1, FIRST);
            assertThat(unverified.load("m", "v", DIGEST, CHUNKS)).isEqualTo(WeightsMemory.Result.DONE);
            assertThat(unverified.isLoaded(DIGEST)).isFalse();
            assertThat(unverified.isLoaded(Sha256.weightsDigest(List.of(Sha256.hex(FIRST), Sha256.hex(FIRST)))))
                    .isTrue();
        }
    }

    @Nested
    class Staging {
        /** Guards against a rollout that fits only because the memory limit is not enforced. */
        @Test
        void refusesChunksBeyondTheMemoryLimit() {
            assertThat(memory.stage("sha256:a", 0, new byte[6])).isPresent();
            assertThat(memory.stage("sha256:b", 0, new byte[3])).isEmpty();
            memory.dropStaged("sha256:a");
            assertThat(memory.stage("sha256:b", 0, new byte[3])).isPresent();
        }
    }
}
