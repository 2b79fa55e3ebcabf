package org.masticcroft.gateway.weights;

import java.util.BitSet;

/** The verified pieces of one version that a sidecar keeps in memory, to stage them and to hand them out. */
final class Stock {
    private final Manifest manifest;
    private final byte[][] pieces;
    private final BitSet held;

    private Stock(Manifest manifest) {
        this.manifest = manifest;
        this.pieces = new byte[manifest.pieces()][];
        this.held = new BitSet(manifest.pieces());
    }

    static Stock of(Manifest manifest) {
        return new Stock(manifest);
    }

    Manifest manifest() {
        return manifest;
    }

    BitSet held() {
        return held;
    }

    byte[] piece(int number) {
        return pieces[number];
    }

    boolean complete() {
        return held.cardinality() == manifest.pieces();
    }

    /** Keeps a piece if its digest is right; returns whether it is. */
    boolean add(int number, byte[] data) {
        if (!manifest.matches(number, data)) {
            return false;
        }
        pieces[number] = data;
        held.set(number);
        return true;
    }

    /** Returns a stock of the same version under another manifest, with the pieces that it confirms. */
    Stock under(Manifest other) {
        Stock stock = Stock.of(other);
        for (int piece = held.nextSetBit(0); piece >= 0 && piece < other.pieces(); piece = held.nextSetBit(piece + 1)) {
            stock.add(piece, pieces[piece]);
        }
        return stock;
    }

    boolean isFor(String model, long version) {
        return manifest.version() == version && manifest.model().equals(model);
    }
}
