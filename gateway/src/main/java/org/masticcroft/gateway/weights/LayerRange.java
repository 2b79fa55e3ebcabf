package org.masticcroft.gateway.weights;

import java.util.BitSet;

/**
 * Consecutive layers of a model.
 *
 * @param from first layer
 * @param end layer after the last one
 */
public record LayerRange(int from, int end) {
    /** No layer. */
    public static final LayerRange NONE = new LayerRange(0, 0);

    /** Returns the range of a single layer. */
    static LayerRange of(int layer) {
        return new LayerRange(layer, layer + 1);
    }

    /** Returns the layers that need at least one of the pieces, if these are all layers of the model. */
    BitSet needing(BitSet pieces, int pieceCount) {
        BitSet layers = new BitSet();
        for (int layer = from; layer < end; layer++) {
            int firstPiece = layer * pieceCount / end;
            int endPiece = ((layer + 1) * pieceCount + end - 1) / end;
            if (pieces.get(firstPiece, endPiece).cardinality() > 0) {
                layers.set(layer);
            }
        }
        return layers;
    }
}
