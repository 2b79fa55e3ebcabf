package org.masticcroft.standins.platform;

import java.time.Duration;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A piece in the staging area of an engine.
 *
 * @param data the bytes; not copied
 * @param spoiltNanos monotonic time at which the piece turned bad; empty if it is as it was staged
 */
public record StagedPiece(byte[] data, OptionalLong spoiltNanos) {
    public StagedPiece {
        Objects.requireNonNull(data, "data");
        Objects.requireNonNull(spoiltNanos, "spoiltNanos");
    }

    static StagedPiece staged(byte[] data) {
        return new StagedPiece(data, OptionalLong.empty());
    }

    /** Returns the piece with one bit flipped; it has been bad since the first flip. */
    StagedPiece spoilt(long nowNanos) {
        byte[] flipped = data.clone();
        flipped[0] ^= 1;
        return new StagedPiece(flipped, OptionalLong.of(spoiltNanos.orElse(nowNanos)));
    }

    /**
     * Returns what is wrong with a piece that an engine has taken; empty if it is right, or turned bad only recently.
     *
     * @param taken the piece; null if it was missing
     * @param right the bytes of this piece in the version that was taken
     * @param takenNanos monotonic time at which it was taken
     * @param tolerance time for which a piece may have been bad
     */
    static Optional<String> fault(StagedPiece taken, byte[] right, long takenNanos, Duration tolerance) {
        if (taken == null) {
            return Optional.of("missing");
        }
        if (Arrays.equals(taken.data, right)) {
            return Optional.empty();
        }
        if (taken.spoiltNanos.isEmpty()) {
            return Optional.of("of another version");
        }
        Duration spoiltFor = Duration.ofNanos(takenNanos - taken.spoiltNanos.getAsLong());
        return spoiltFor.compareTo(tolerance) <= 0
                ? Optional.empty()
                : Optional.of("spoilt for " + spoiltFor.toMillis() + " ms");
    }
}
