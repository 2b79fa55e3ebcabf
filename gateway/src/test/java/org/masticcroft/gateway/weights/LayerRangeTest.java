package org.masticcroft.gateway.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.BitSet;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LayerRangeTest {
    private static BitSet pieces(int... indexes) {
        BitSet pieces = new BitSet();
        for (int index : indexes) {
            pieces.set(index);
        }
        return pieces;
    }

    @Nested
    class LayersThatNeedAPiece {
        /** Guards against unsound layers that stay loaded, because a piece belongs to two layers. */
        @Test
        void areAllThatContainAPartOfIt() {
            // Of 7 pieces, layer 0 of 4 needs pieces 0 and 1, layer 1 needs 1 to 3, and so on.
            LayerRange layers = new LayerRange(0, 4);
            assertThat(layers.needing(pieces(1), 7)).isEqualTo(pieces(0, 1));
            assertThat(layers.needing(pieces(0), 7)).isEqualTo(pieces(0));
            assertThat(layers.needing(pieces(6), 7)).isEqualTo(pieces(3));
        }

        @Test
        void areNoneWithoutAPiece() {
            assertThat(new LayerRange(0, 16).needing(new BitSet(), 96).isEmpty())
                    .isTrue();
        }
    }
}
