package org.masticcroft.gateway.weights;

import java.util.function.Supplier;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.event.Event;

/** Reads the staged pieces of the loaded version from the engine, because other sidecars want them. */
final class StagedReader {
    private final LocalEngine engine;
    private final DecisionLog log;
    private boolean reading;

    StagedReader(LocalEngine engine, DecisionLog log) {
        this.engine = engine;
        this.log = log;
    }

    /**
     * Reads the pieces that a stock lacks, unless that is under way.
     *
     * @param stock the stock to fill
     * @param current gives the stock that is wanted; the read ends when it is another one
     */
    void read(Stock stock, Supplier<Stock> current) {
        if (!stock.complete() && !reading) {
            reading = true;
            next(stock, stock.held().nextClearBit(0), current);
        }
    }

    private void next(Stock stock, int piece, Supplier<Stock> current) {
        if (piece >= stock.manifest().pieces() || current.get() != stock) {
            reading = false;
            log.write(
                    Event.STAGED_PIECES_READ,
                    "version",
                    stock.manifest().version(),
                    "held",
                    stock.held().cardinality());
            return;
        }
        engine.readStaged(stock.manifest().model(), piece, data -> {
            data.ifPresent(bytes -> stock.add(piece, bytes));
            next(stock, stock.held().nextClearBit(piece + 1), current);
        });
    }
}
