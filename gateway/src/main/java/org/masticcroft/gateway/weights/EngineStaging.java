package org.masticcroft.gateway.weights;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Optional;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Writes verified pieces to the staging area of the engine. Staged pieces may become corrupt, so all of them are read
 * back and verified before the engine is ordered to load them.
 */
final class EngineStaging {
    /** Maximum number of concurrent calls to the engine; the calls do not leave the machine. */
    private static final int MAX_CALLS = 3;

    private final LocalEngine engine;
    private final VerifiedPieces pieces;
    private final TimeSource time;
    private final DecisionLog log;

    /** When the last read-back of each piece that matched was requested. */
    private final long[] readBackNanos;

    private final Deque<Integer> toStage = new ArrayDeque<>();
    private final Deque<Integer> toVerify = new ArrayDeque<>();
    private final Runnable onStaged;
    private Runnable onVerified = () -> {};
    private int callsInFlight;
    private boolean verifying;
    private boolean cancelled;
    private int staged;

    EngineStaging(LocalEngine engine, VerifiedPieces pieces, TimeSource time, DecisionLog log, Runnable onStaged) {
        this.engine = engine;
        this.pieces = pieces;
        this.time = time;
        this.log = log;
        this.readBackNanos = new long[pieces.manifest().pieceCount()];
        this.onStaged = onStaged;
    }

    /** Queues a verified piece for staging. */
    void add(int index) {
        toStage.addLast(index);
        startCalls();
    }

    /** Returns whether all pieces have been staged. */
    boolean complete() {
        return staged == pieces.manifest().pieceCount();
    }

    /** Returns whether the staged pieces are being verified. */
    boolean verifying() {
        return verifying;
    }

    /** Returns the time since the engine was asked for the first of the pieces of the last verification. */
    Duration oldestReadBackAge() {
        return time.since(Arrays.stream(readBackNanos).min().orElse(time.nanoTime()));
    }

    /** Starts no further calls to the engine and runs no callback. */
    void cancel() {
        cancelled = true;
    }

    /**
     * Reads all staged pieces back, stages those again that do not match, and runs the action once all of them match.
     */
    void verify(Runnable onSuccess) {
        verifying = true;
        onVerified = onSuccess;
        for (int index = 0; index < pieces.manifest().pieceCount(); index++) {
            toVerify.addLast(index);
        }
        startCalls();
    }

    private void startCalls() {
        while (!cancelled && callsInFlight < MAX_CALLS && !(toStage.isEmpty() && toVerify.isEmpty())) {
            callsInFlight++;
            if (toStage.isEmpty()) {
                int index = toVerify.removeFirst();
                long requestedNanos = time.nanoTime();
                engine.readStaged(
                        pieces.manifest().model(), index, data -> readBackCompleted(index, requestedNanos, data));
            } else {
                int index = toStage.removeFirst();
                engine.stage(
                        pieces.manifest().model(),
                        index,
                        pieces.piece(index),
                        success -> stageCompleted(index, success));
            }
        }
        if (!cancelled && verifying && callsInFlight == 0 && toStage.isEmpty() && toVerify.isEmpty()) {
            verifying = false;
            onVerified.run();
        }
    }

    private void stageCompleted(int index, boolean success) {
        callsInFlight--;
        if (!success) {
            toStage.addLast(index);
        } else if (verifying) {
            toVerify.addLast(index);
        } else {
            staged++;
            if (complete() && !cancelled) {
                onStaged.run();
            }
        }
        startCalls();
    }

    private void readBackCompleted(int index, long requestedNanos, Optional<byte[]> data) {
        callsInFlight--;
        boolean matches = data.isPresent() && pieces.manifest().matches(index, data.get());
        if (matches) {
            readBackNanos[index] = requestedNanos;
        } else {
            log.write(
                    Event.CHUNK_REJECTED,
                    "version",
                    pieces.manifest().version(),
                    "piece",
                    index,
                    "source",
                    "staging-area",
                    "reason",
                    data.isPresent() ? "wrong-digest" : "not-given");
            toStage.addLast(index);
        }
        startCalls();
    }
}
