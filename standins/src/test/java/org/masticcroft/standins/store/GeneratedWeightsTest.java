package org.masticcroft.standins.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class GeneratedWeightsTest {
    /** Guards against a digest, computed for a configuration, that differs from that of the store's content. */
    @Test
    void sameSpecificationGivesSameDigestAndOthersDiffer() {
        String digest = GeneratedWeights.parse("m:v1:5000:7", 1024).digest();
        assertThat(digest).matches("sha256:[0-9a-f]{64}");
        assertThat(GeneratedWeights.parse("m:v1:5000:7", 1024).digest()).isEqualTo(digest);
        assertThat(GeneratedWeights.parse("m:v1:5000:8", 1024).digest()).isNotEqualTo(digest);
        assertThat(GeneratedWeights.parse("m:v1:5001:7", 1024).digest()).isNotEqualTo(digest);
    }

    /** Guards against a last chunk of the wrong size. */
    @Test
    void lastChunkHoldsTheRemainingBytes() {
        GeneratedWeights weights = GeneratedWeights.parse("m:v1:2050:7", 1024);
        assertThat(weights.chunkCount()).isEqualTo(3);
        assertThat(weights.chunk(2)).hasSize(2);
    }

    /** Guards against a mistyped specification that is accepted and serves other weights. */
    @Test
    void rejectsAMalformedSpecification() {
        assertThatThrownBy(() -> GeneratedWeights.parse("m:v1:5000", 1024))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
