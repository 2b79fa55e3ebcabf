package org.masticcroft.kernel.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Folds the records of the log stream {@code config} into the version in force. Immutable; all operations are pure.
 *
 * <p>A fold is <em>synchronised</em> if it knows the version in force at its position: it has read the stream without a
 * gap, either from offset 0 or from the end of a snapshot. A fold that is not synchronised cannot check the base of an
 * update. It keeps the updates that it reads and replays them once it gets a snapshot that leaves no gap before them.
 */
public final class ConfigFold {
    private static final ConfigFold EMPTY = new ConfigFold(ConfigState.empty(), 0, 0, true, List.of());

    private final ConfigState state;

    /** First offset of the records that this fold has read without a gap up to its position. */
    private final long contiguousFrom;

    private final long position;
    private final boolean synchronised;

    /** Updates read since {@code contiguousFrom}, oldest first, whose base is unchecked; empty if synchronised. */
    private final List<Pending> pending;

    private ConfigFold(
            ConfigState state, long contiguousFrom, long position, boolean synchronised, List<Pending> pending) {
        this.state = state;
        this.contiguousFrom = contiguousFrom;
        this.position = position;
        this.synchronised = synchronised;
        this.pending = pending;
    }

    /** Returns the fold of a reader that has read nothing. */
    public static ConfigFold empty() {
        return EMPTY;
    }

    /** Returns the newest known state, with version 0 if there is none. The version never decreases. */
    public ConfigState state() {
        return state;
    }

    /** Returns the next offset to read. */
    public long position() {
        return position;
    }

    /** Returns whether the state is the one in force at {@link #position()}. */
    public boolean isSynchronised() {
        return synchronised;
    }

    /**
     * Returns the fold after the log has reported the earliest offset that it retains. If that offset lies after the
     * position, the records in between are lost to this reader and the result is not synchronised.
     */
    public ConfigFold withEarliestOffset(long earliestOffset) {
        return earliestOffset <= position
                ? this
                : new ConfigFold(state, earliestOffset, earliestOffset, false, List.of());
    }

    /**
     * Folds the record at an offset. A record before the position has no effect; a record after the position means that
     * the records in between are lost.
     */
    public Step fold(long offset, ConfigRecord record) {
        Objects.requireNonNull(record, "record");
        if (offset < position) {
            return new Step(this, Outcome.ALREADY_READ);
        }
        ConfigFold atOffset = withEarliestOffset(offset);
        return record instanceof ConfigRecord.Update update
                ? atOffset.foldUpdate(update)
                : atOffset.foldSnapshot((ConfigRecord.Snapshot) record);
    }

    /** Skips the record at an offset because it cannot be decoded. Such a record has no effect for any reader. */
    public ConfigFold skip(long offset) {
        return offset < position ? this : withEarliestOffset(offset).advanced();
    }

    /**
     * Adopts a snapshot that a peer offers, if its version is higher or if it makes this fold synchronised. If records
     * are missing between the snapshot and those read so far, its state is used, but the fold stays unsynchronised.
     */
    public Step adopt(ConfigRecord.Snapshot snapshot) {
        if (synchronised) {
            return snapshot.version() <= state.version()
                    ? new Step(this, Outcome.SNAPSHOT_STALE)
                    : adoptNewer(snapshot);
        }
        if (isContiguousWith(snapshot)) {
            return replayPendingOnto(snapshot);
        }
        return snapshot.version() <= state.version()
                ? new Step(this, Outcome.SNAPSHOT_STALE)
                : new Step(
                        new ConfigFold(stateOf(snapshot), contiguousFrom, position, false, pending), Outcome.APPLIED);
    }

    /**
     * Adopts a snapshot of a higher version in a synchronised fold. Such a snapshot must cover records that this fold
     * has not read yet; otherwise it contradicts those that it has read.
     */
    private Step adoptNewer(ConfigRecord.Snapshot snapshot) {
        return snapshot.foldedThrough() < position
                ? new Step(this, Outcome.SNAPSHOT_CONFLICTING)
                : new Step(synchronisedAt(stateOf(snapshot)), Outcome.APPLIED);
    }

    private Step foldUpdate(ConfigRecord.Update update) {
        if (!synchronised) {
            List<Pending> extended = new ArrayList<>(pending);
            extended.add(new Pending(position, update));
            return new Step(
                    new ConfigFold(state, contiguousFrom, position + 1, false, List.copyOf(extended)),
                    Outcome.BASE_UNKNOWN);
        }
        return update.base() == state.version()
                ? new Step(synchronisedAt(stateOf(update, position)), Outcome.APPLIED)
                : new Step(advanced(), Outcome.BASE_NOT_IN_FORCE);
    }

    /**
     * Folds a snapshot record of the stream. It conflicts with the stream if it claims to cover its own position or
     * later records, or if it has a higher version than a synchronised fold.
     */
    private Step foldSnapshot(ConfigRecord.Snapshot snapshot) {
        if (snapshot.foldedThrough() >= position || synchronised && snapshot.version() > state.version()) {
            return new Step(advanced(), Outcome.SNAPSHOT_CONFLICTING);
        }
        if (synchronised || !isContiguousWith(snapshot)) {
            return new Step(advanced(), Outcome.SNAPSHOT_STALE);
        }
        Step replayed = replayPendingOnto(snapshot);
        return new Step(replayed.fold().advanced(), replayed.outcome());
    }

    /** Returns whether this fold has read every record from the end of the snapshot up to its position. */
    private boolean isContiguousWith(ConfigRecord.Snapshot snapshot) {
        return snapshot.foldedThrough() + 1 >= contiguousFrom;
    }

    /** Replays the pending updates after a contiguous snapshot, which makes the fold synchronised. */
    private Step replayPendingOnto(ConfigRecord.Snapshot snapshot) {
        ConfigState replayed = stateOf(snapshot);
        for (Pending next : pending) {
            if (next.offset() > snapshot.foldedThrough() && next.update().base() == replayed.version()) {
                replayed = stateOf(next.update(), next.offset());
            }
        }
        if (replayed.version() < state.version()) {
            return new Step(this, Outcome.SNAPSHOT_CONFLICTING);
        }
        long foldedThrough = Math.max(position - 1, snapshot.foldedThrough());
        Outcome outcome = replayed.version() == state.version() ? Outcome.CONNECTED : Outcome.APPLIED;
        return new Step(synchronisedAt(new ConfigState(replayed.version(), replayed.config(), foldedThrough)), outcome);
    }

    /** Returns this fold moved past the record at its position, which has no effect on the version. */
    private ConfigFold advanced() {
        return synchronised
                ? synchronisedAt(new ConfigState(state.version(), state.config(), position))
                : new ConfigFold(state, contiguousFrom, position + 1, false, pending);
    }

    private static ConfigFold synchronisedAt(ConfigState state) {
        long next = state.foldedThrough() + 1;
        return new ConfigFold(state, next, next, true, List.of());
    }

    private static ConfigState stateOf(ConfigRecord.Snapshot snapshot) {
        return new ConfigState(snapshot.version(), snapshot.config(), snapshot.foldedThrough());
    }

    private static ConfigState stateOf(ConfigRecord.Update update, long offset) {
        return new ConfigState(update.base() + 1, update.config(), offset);
    }

    /** Effect of a record on a fold. */
    public enum Outcome {
        /** The version increased. */
        APPLIED,
        /** The fold became synchronised without a change of its version. */
        CONNECTED,
        /** The record lies before the position. */
        ALREADY_READ,
        /** The fold is not synchronised, so it keeps the update until a snapshot leaves no gap before it. */
        BASE_UNKNOWN,
        /** The update has no effect: its base is not the version in force. */
        BASE_NOT_IN_FORCE,
        /** The snapshot is not newer than the state, or records after it are lost. */
        SNAPSHOT_STALE,
        /** The snapshot contradicts what this fold has read; it belongs to another stream or is damaged. */
        SNAPSHOT_CONFLICTING
    }

    /**
     * Result of folding a record or adopting a snapshot.
     *
     * @param fold the fold after the operation
     * @param outcome effect of the record or snapshot
     */
    public record Step(ConfigFold fold, Outcome outcome) {
        public Step {
            Objects.requireNonNull(fold, "fold");
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /** An update that waits for a snapshot, with its offset in the stream. */
    private record Pending(long offset, ConfigRecord.Update update) {}
}
