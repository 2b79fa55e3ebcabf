package org.masticcroft.gateway.weights;

import java.util.Objects;
import java.util.Optional;

/**
 * Reply to a read of a staged piece.
 *
 * @param answered whether the engine answered; it may hold the piece if it did not
 * @param data bytes of the piece; empty if the engine does not hold it or did not answer
 */
public record StagedRead(boolean answered, Optional<byte[]> data) {
    public StagedRead {
        Objects.requireNonNull(data, "data");
    }

    /** Returns a reply with the bytes of the piece. */
    public static StagedRead of(byte[] data) {
        return new StagedRead(true, Optional.of(data));
    }

    /** Returns the reply of an engine that does not hold the piece. */
    public static StagedRead missing() {
        return new StagedRead(true, Optional.empty());
    }

    /** Returns the result of a read that was not answered. */
    public static StagedRead unanswered() {
        return new StagedRead(false, Optional.empty());
    }
}
