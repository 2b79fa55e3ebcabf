package org.masticcroft.gateway.weights;

import java.util.BitSet;

/**
 * The verified pieces of one version, kept in memory to stage them on the engine and to send them to other sidecars.
 */
final class VerifiedPieces {
    private final Manifest manifest;
    private final byte[][] data;
    private final BitSet bitmap;

    private VerifiedPieces(Manifest manifest) {
        this.manifest = manifest;
        this.data = new byte[manifest.pieceCount()][];
        this.bitmap = new BitSet(manifest.pieceCount());
    }

    static VerifiedPieces of(Manifest manifest) {
        return new VerifiedPieces(manifest);
    }

    Manifest manifest() {
        return manifest;
    }

    /** Returns the indexes of the pieces that are held; not a copy. */
    BitSet bitmap() {
        return bitmap;
    }

    byte[] piece(int index) {
        return data[index];
    }

    /** Returns whether all pieces are held. */
    boolean complete() {
        return bitmap.cardinality() == manifest.pieceCount();
    }

    /** Keeps a piece if its digest matches the manifest; returns whether it does. */
    boolean add(int index, byte[] content) {
        if (!manifest.matches(index, content)) {
            return false;
        }
        data[index] = content;
        bitmap.set(index);
        return true;
    }

    /** Returns the pieces that match another manifest of the same version. */
    VerifiedPieces withManifest(Manifest other) {
        VerifiedPieces confirmed = VerifiedPieces.of(other);
        for (int index = bitmap.nextSetBit(0);
                index >= 0 && index < other.pieceCount();
                index = bitmap.nextSetBit(index + 1)) {
            confirmed.add(index, data[index]);
        }
        return confirmed;
    }

    /** Returns whether these are pieces of a version of a model. */
    boolean isFor(String model, long version) {
        return manifest.version() == version && manifest.model().equals(model);
    }
}
