package org.masticcroft.gateway.weights;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Deque;
import java.util.stream.Stream;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Writes verified pieces to the staging area of the engine. Staged pieces may become corrupt, so all of them are read
 * back and verified before the engine is ordered to load them.
 */
final class EngineStaging {
    /** Maximum number of concurrent uploads to the engine; they do not leave the machine. */
    private static final int MAX_UPLOADS = 3;

    /** Rounds of read-backs after which a verification ends also if some have become too old again. */
    private static final int MAX_ROUNDS = 5;

    private final LocalEngine engine;
    private final VerifiedPieces pieces;
    private final TimeSource time;
    private final DecisionLog log;
    private final Deque<Integer> toStage = new ArrayDeque<>();
    private final Deque<Integer> toVerify = new ArrayDeque<>();
    private final Runnable onStaged;
    private final ReadBackLimit readBackLimit;

    /** When the last read-back of each piece that matched was requested. */
    private final Moment[] readBacks;

    /** When the last upload of each piece was requested; null before the first one. */
    private final Moment[] uploads;

    private Runnable onVerified = () -> {};
    private int uploadsInFlight;
    private int readsInFlight;
    private int round;
    private boolean verifying;

    /** Whether read-backs wait until the engine shows that it answers. */
    private boolean readsPaused;

    private boolean cancelled;
    private int staged;

    EngineStaging(LocalEngine engine, VerifiedPieces pieces, TimeSource time, DecisionLog log, Runnable onStaged) {
        this.engine = engine;
        this.pieces = pieces;
        this.time = time;
        this.log = log;
        this.onStaged = onStaged;
        this.readBacks = new Moment[pieces.manifest().pieceCount()];
        this.uploads = new Moment[readBacks.length];
        this.readBackLimit = new ReadBackLimit(readBacks.length, engine.maxReadBackAge());
    }

    Manifest manifest() {
        return pieces.manifest();
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

    /** Returns the time since the engine was asked for the oldest of the read-backs of the last verification. */
    Duration oldestReadBackAge() {
        return Stream.of(readBacks)
                .map(readBack -> readBack.age(time))
                .max(Duration::compareTo)
                .orElse(Duration.ZERO);
    }

    /** Returns the pieces that have been uploaded since a moment. */
    BitSet uploadedSince(Moment start) {
        BitSet uploaded = new BitSet();
        for (int index = 0; index < uploads.length; index++) {
            if (uploads[index] != null && uploads[index].nanos() - start.nanos() >= 0) {
                uploaded.set(index);
            }
        }
        return uploaded;
    }

    /** Repeats the read-backs that the engine has not answered; to be called when it has shown that it answers. */
    void resume() {
        if (readsPaused) {
            readsPaused = false;
            startCalls();
        }
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
        round = 1;
        for (int index = 0; index < pieces.manifest().pieceCount(); index++) {
            toVerify.addLast(index);
        }
        startCalls();
    }

    private void startCalls() {
        while (!cancelled && !toStage.isEmpty() && uploadsInFlight < MAX_UPLOADS) {
            uploadsInFlight++;
            int index = toStage.removeFirst();
            uploads[index] = Moment.now(time);
            engine.stage(
                    pieces.manifest().model(), index, pieces.piece(index), success -> stageCompleted(index, success));
        }
        while (!cancelled && !readsPaused && !toVerify.isEmpty() && readsInFlight < readBackLimit.value()) {
            readsInFlight++;
            int index = toVerify.removeFirst();
            Moment requested = Moment.now(time);
            engine.readStaged(pieces.manifest().model(), index, read -> readBackCompleted(index, requested, read));
        }
        if (!cancelled && verifying && idle()) {
            completeRound();
        }
    }

    private boolean idle() {
        return uploadsInFlight == 0 && readsInFlight == 0 && toStage.isEmpty() && toVerify.isEmpty();
    }

    /** Repeats the read-backs that have become too old, unless the engine is too slow for that, and ends otherwise. */
    private void completeRound() {
        for (int index = 0; index < readBacks.length; index++) {
            if (readBacks[index].age(time).compareTo(engine.maxReadBackAge()) > 0) {
                toVerify.addLast(index);
            }
        }
        boolean soonEnough = readBackLimit.timeFor(toVerify.size()).compareTo(engine.maxReadBackAge()) <= 0;
        if (!toVerify.isEmpty() && soonEnough && round < MAX_ROUNDS) {
            round++;
            startCalls();
            return;
        }
        toVerify.clear();
        verifying = false;
        onVerified.run();
    }

    private void stageCompleted(int index, boolean success) {
        uploadsInFlight--;
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

    private void readBackCompleted(int index, Moment requested, StagedRead read) {
        readsInFlight--;
        readBackLimit.record(requested.age(time));
        boolean matches = read.data().isPresent()
                && pieces.manifest().matches(index, read.data().get());
        if (matches) {
            readBacks[index] = requested;
        } else if (!read.answered()) {
            toVerify.addLast(index);
            readsPaused = true;
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
                    read.data().isPresent() ? "wrong-digest" : "missing");
            toStage.addLast(index);
        }
        startCalls();
    }
}
