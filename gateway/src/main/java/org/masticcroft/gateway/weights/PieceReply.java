package org.masticcroft.gateway.weights;

import java.util.Objects;
import java.util.Optional;

/**
 * Reply to a request for a piece.
 *
 * @param data bytes of the piece; empty if the source did not return it
 * @param busy whether the source holds the piece and has no free upload slot, so that it may be asked again soon
 */
public record PieceReply(Optional<byte[]> data, boolean busy) {
    public PieceReply {
        Objects.requireNonNull(data, "data");
    }

    /** Returns a reply with the bytes of the piece. */
    public static PieceReply of(byte[] data) {
        return new PieceReply(Optional.of(data), false);
    }

    /** Returns the reply of a source without a free upload slot. */
    public static PieceReply sourceBusy() {
        return new PieceReply(Optional.empty(), true);
    }

    /** Returns the result of a request that failed, or the reply of a source that does not hold the piece. */
    public static PieceReply failed() {
        return new PieceReply(Optional.empty(), false);
    }
}
