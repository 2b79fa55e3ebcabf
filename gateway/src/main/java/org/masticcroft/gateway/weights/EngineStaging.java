package org.masticcroft.gateway.weights;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.event.Event;

/**
 * Puts verified pieces into the staging area of the engine. Staged pieces may turn bad, so all of them are read back
 * and compared before the engine is ordered to load them.
 */
final class EngineStaging {
    /** Calls to the engine at a time; they stay on the machine. */
    private static final int MAX_CALLS = 3;

    private final LocalEngine engine;
    private final Stock stock;
    private final DecisionLog log;
    private final Deque<Integer> toStage = new ArrayDeque<>();
    private final Deque<Integer> toCheck = new ArrayDeque<>();
    private final Runnable whenStaged;
    private Runnable whenChecked = () -> {};
    private int calls;
    private boolean checking;
    private boolean abandoned;
    private int staged;

    EngineStaging(LocalEngine engine, Stock stock, DecisionLog log, Runnable whenStaged) {
        this.engine = engine;
        this.stock = stock;
        this.log = log;
        this.whenStaged = whenStaged;
    }

    /** Stages a verified piece. */
    void add(int piece) {
        toStage.addLast(piece);
        pump();
    }

    /** Returns whether all pieces were staged. */
    boolean complete() {
        return staged == stock.manifest().pieces();
    }

    boolean checking() {
        return checking;
    }

    void abandon() {
        abandoned = true;
    }

    /** Reads all pieces back, replaces those that differ, and calls back when all are right. */
    void check(Runnable action) {
        checking = true;
        whenChecked = action;
        for (int piece = 0; piece < stock.manifest().pieces(); piece++) {
            toCheck.addLast(piece);
        }
        pump();
    }

    private void pump() {
        while (!abandoned && calls < MAX_CALLS && !(toStage.isEmpty() && toCheck.isEmpty())) {
            calls++;
            if (toStage.isEmpty()) {
                int piece = toCheck.removeFirst();
                engine.readStaged(stock.manifest().model(), piece, data -> readBack(piece, data));
            } else {
                int piece = toStage.removeFirst();
                engine.stage(stock.manifest().model(), piece, stock.piece(piece), done -> stagedPiece(piece, done));
            }
        }
        if (!abandoned && checking && calls == 0 && toStage.isEmpty() && toCheck.isEmpty()) {
            checking = false;
            whenChecked.run();
        }
    }

    private void stagedPiece(int piece, boolean done) {
        calls--;
        if (!done) {
            toStage.addLast(piece);
        } else if (checking) {
            toCheck.addLast(piece);
        } else {
            staged++;
            if (complete() && !abandoned) {
                whenStaged.run();
            }
        }
        pump();
    }

    private void readBack(int piece, Optional<byte[]> data) {
        calls--;
        boolean right = data.isPresent() && stock.manifest().matches(piece, data.get());
        if (!right) {
            log.write(
                    Event.CHUNK_REJECTED,
                    "version",
                    stock.manifest().version(),
                    "piece",
                    piece,
                    "source",
                    "staging-area",
                    "reason",
                    data.isPresent() ? "wrong-digest" : "not-given");
            toStage.addLast(piece);
        }
        pump();
    }
}
