package org.masticcroft.gateway.weights;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Deque;
import java.util.function.Consumer;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Reads the staged pieces back after the engine has accepted an order to load them. A piece that still matches was
 * sound when the engine took it, however long the order was on its way, because nothing is staged in between.
 */
final class LoadConfirmation {
    private final LocalEngine engine;
    private final Manifest manifest;
    private final TimeSource time;
    private final Consumer<BitSet> onCompleted;
    private final Deque<Integer> toRead = new ArrayDeque<>();
    private final BitSet unsound = new BitSet();
    private final ReadBackLimit readBackLimit;
    private final Moment started;
    private int readsInFlight;
    private boolean waiting;
    private boolean cancelled;

    private LoadConfirmation(LocalEngine engine, Manifest manifest, TimeSource time, Consumer<BitSet> onCompleted) {
        this.engine = engine;
        this.manifest = manifest;
        this.time = time;
        this.onCompleted = onCompleted;
        this.readBackLimit = new ReadBackLimit(manifest.pieceCount(), engine.maxReadBackAge());
        this.started = Moment.now(time);
    }

    /**
     * Starts to read the pieces back.
     *
     * @param engine the engine
     * @param manifest manifest of the version that the engine was ordered to load
     * @param time time source
     * @param onCompleted receives the pieces that do not match
     */
    static LoadConfirmation start(
            LocalEngine engine, Manifest manifest, TimeSource time, Consumer<BitSet> onCompleted) {
        LoadConfirmation confirmation = new LoadConfirmation(engine, manifest, time, onCompleted);
        for (int index = 0; index < manifest.pieceCount(); index++) {
            confirmation.toRead.addLast(index);
        }
        confirmation.startReads();
        return confirmation;
    }

    /** Repeats the reads that the engine has not answered; to be called when it has shown that it answers. */
    void resume() {
        waiting = false;
        startReads();
    }

    /** Starts no further reads and does not complete. */
    void cancel() {
        cancelled = true;
    }

    Moment started() {
        return started;
    }

    private void startReads() {
        while (!cancelled && !waiting && !toRead.isEmpty() && readsInFlight < readBackLimit.value()) {
            readsInFlight++;
            int index = toRead.removeFirst();
            Moment requested = Moment.now(time);
            engine.readStaged(manifest.model(), index, read -> readCompleted(index, requested, read));
        }
    }

    private void readCompleted(int index, Moment requested, StagedRead read) {
        readsInFlight--;
        readBackLimit.record(requested.age(time));
        if (!read.answered()) {
            toRead.addLast(index);
            waiting = true;
        } else if (read.data().isEmpty() || !manifest.matches(index, read.data().get())) {
            unsound.set(index);
        }
        startReads();
        if (!cancelled && toRead.isEmpty() && readsInFlight == 0) {
            cancelled = true;
            onCompleted.accept(unsound);
        }
    }
}
