package org.masticcroft.gateway.weights;

import java.util.function.Supplier;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.event.Event;

/**
 * Reads the pieces of the loaded version back from the staging area of the engine, because other sidecars need them.
 */
final class StagedPieceReader {
    private final LocalEngine engine;
    private final DecisionLog log;
    private boolean inProgress;

    StagedPieceReader(LocalEngine engine, DecisionLog log) {
        this.engine = engine;
        this.log = log;
    }

    /**
     * Reads the missing pieces, unless a read is already in progress.
     *
     * @param pieces receives the pieces
     * @param currentPieces returns the pieces in use; the read ends when these are no longer the same
     */
    void read(VerifiedPieces pieces, Supplier<VerifiedPieces> currentPieces) {
        if (!pieces.complete() && !inProgress) {
            inProgress = true;
            readNext(pieces, pieces.bitmap().nextClearBit(0), currentPieces);
        }
    }

    private void readNext(VerifiedPieces pieces, int index, Supplier<VerifiedPieces> currentPieces) {
        if (index >= pieces.manifest().pieceCount() || currentPieces.get() != pieces) {
            inProgress = false;
            log.write(
                    Event.STAGED_PIECES_READ,
                    "version",
                    pieces.manifest().version(),
                    "held",
                    pieces.bitmap().cardinality());
            return;
        }
        engine.readStaged(pieces.manifest().model(), index, read -> {
            read.data().ifPresent(bytes -> pieces.add(index, bytes));
            readNext(pieces, pieces.bitmap().nextClearBit(index + 1), currentPieces);
        });
    }
}
