package org.masticcroft.standins.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class GeneratedWeightsTest {
    /** Guards against a configuration that names a digest which the store's content does not have. */
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
    void lastChunkHoldsTheRest() {
        GeneratedWeights weights = GeneratedWeights.parse("m:v1:2050:7", 1024);
        assertThat(weights.chunkCount()).isEqualTo(3);
        assertThat(weights.chunk(2)).hasSize(2);
    }

    /** Guards against a mistyped specification that serves something else. */
    @Test
    void rejectsAMalformedSpecification() {
        assertThatThrownBy(() -> GeneratedWeights.parse("m:v1:5000", 1024))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
