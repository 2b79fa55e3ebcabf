package org.masticcroft.kernel.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Folds the records of the log stream {@code config} into the version in force. Immutable; all operations are pure.
 *
 * <p>A fold is <em>synchronised</em> if it knows the version in force at its position: it has read the stream from
 * offset 0, or from a snapshot on, without a gap. A fold that is not synchronised keeps the updates that it reads until
 * a snapshot connects to them, because it cannot check their base.
 */
public final class ConfigFold {
    private static final ConfigFold EMPTY = new ConfigFold(ConfigState.empty(), 0, 0, true, List.of());

    private final ConfigState state;

    /** Offset from which this fold has read every record up to the position. */
    private final long start;

    private final long position;
    private final boolean synchronised;

    /** Updates from the start on, oldest first; empty if synchronised. */
    private final List<Pending> pending;

    private ConfigFold(ConfigState state, long start, long position, boolean synchronised, List<Pending> pending) {
        this.state = state;
        this.start = start;
        this.position = position;
        this.synchronised = synchronised;
        this.pending = pending;
    }

    /** Returns the fold of a reader that has read nothing. */
    public static ConfigFold empty() {
        return EMPTY;
    }

    /** Returns the newest known state, with version 0 if there is none. The version never goes down. */
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
     * Takes note of the earliest offset that the log retains. If it lies after the position, the records between are
     * lost for this reader and it is not synchronised any more.
     */
    public ConfigFold withEarliestOffset(long earliest) {
        return earliest <= position ? this : new ConfigFold(state, earliest, earliest, false, List.of());
    }

    /**
     * Folds the record at an offset. A record before the position has no effect; a record after the position means that
     * those between are lost.
     */
    public Step fold(long offset, ConfigRecord record) {
        Objects.requireNonNull(record, "record");
        if (offset < position) {
            return new Step(this, Outcome.ALREADY_READ);
        }
        ConfigFold reader = withEarliestOffset(offset);
        return record instanceof ConfigRecord.Update update
                ? reader.foldUpdate(update)
                : reader.foldSnapshot((ConfigRecord.Snapshot) record);
    }

    /** Passes over the record at an offset that cannot be decoded. It has no effect for any reader. */
    public ConfigFold skip(long offset) {
        return offset < position ? this : withEarliestOffset(offset).advanced();
    }

    /**
     * Takes over the snapshot that a peer offers, if its version is higher or if it makes this fold synchronised. A
     * snapshot that does not connect to the records read so far gives a state to act on, but no synchronised fold.
     */
    public Step adopt(ConfigRecord.Snapshot snapshot) {
        if (synchronised) {
            return snapshot.version() <= state.version()
                    ? new Step(this, Outcome.SNAPSHOT_STALE)
                    : adoptAhead(snapshot);
        }
        if (connects(snapshot)) {
            return connect(snapshot);
        }
        return snapshot.version() <= state.version()
                ? new Step(this, Outcome.SNAPSHOT_STALE)
                : new Step(new ConfigFold(stateOf(snapshot), start, position, false, pending), Outcome.APPLIED);
    }

    private Step adoptAhead(ConfigRecord.Snapshot snapshot) {
        return snapshot.foldedThrough() < position
                ? new Step(this, Outcome.SNAPSHOT_CONFLICTING)
                : new Step(synchronisedAt(stateOf(snapshot)), Outcome.APPLIED);
    }

    private Step foldUpdate(ConfigRecord.Update update) {
        if (!synchronised) {
            List<Pending> kept = new ArrayList<>(pending);
            kept.add(new Pending(position, update));
            return new Step(new ConfigFold(state, start, position + 1, false, List.copyOf(kept)), Outcome.BASE_UNKNOWN);
        }
        return update.base() == state.version()
                ? new Step(synchronisedAt(stateOf(update, position)), Outcome.APPLIED)
                : new Step(advanced(), Outcome.BASE_NOT_IN_FORCE);
    }

    private Step foldSnapshot(ConfigRecord.Snapshot snapshot) {
        if (snapshot.foldedThrough() >= position || synchronised && snapshot.version() > state.version()) {
            return new Step(advanced(), Outcome.SNAPSHOT_CONFLICTING);
        }
        if (synchronised || !connects(snapshot)) {
            return new Step(advanced(), Outcome.SNAPSHOT_STALE);
        }
        Step connected = connect(snapshot);
        return new Step(connected.fold().advanced(), connected.outcome());
    }

    /** Returns whether this fold has read every record from the end of the snapshot up to its position. */
    private boolean connects(ConfigRecord.Snapshot snapshot) {
        return snapshot.foldedThrough() + 1 >= start;
    }

    private Step connect(ConfigRecord.Snapshot snapshot) {
        ConfigState connected = stateOf(snapshot);
        for (Pending next : pending) {
            if (next.offset() > snapshot.foldedThrough() && next.update().base() == connected.version()) {
                connected = stateOf(next.update(), next.offset());
            }
        }
        if (connected.version() < state.version()) {
            return new Step(this, Outcome.SNAPSHOT_CONFLICTING);
        }
        long through = Math.max(position - 1, snapshot.foldedThrough());
        Outcome outcome = connected.version() == state.version() ? Outcome.CONNECTED : Outcome.APPLIED;
        return new Step(synchronisedAt(new ConfigState(connected.version(), connected.config(), through)), outcome);
    }

    private ConfigFold advanced() {
        return synchronised
                ? synchronisedAt(new ConfigState(state.version(), state.config(), position))
                : new ConfigFold(state, start, position + 1, false, pending);
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
        /** The version went up. */
        APPLIED,
        /** The fold became synchronised without a change of its version. */
        CONNECTED,
        /** The record lies before the position. */
        ALREADY_READ,
        /** The fold is not synchronised, so it keeps the update until a snapshot connects to it. */
        BASE_UNKNOWN,
        /** The update is void: its base is not the version in force. */
        BASE_NOT_IN_FORCE,
        /** The snapshot is not newer than the state, or records after it are lost. */
        SNAPSHOT_STALE,
        /** The snapshot contradicts what this fold has read; it belongs to another stream or is damaged. */
        SNAPSHOT_CONFLICTING
    }

    /**
     * Result of an operation.
     *
     * @param fold the fold after the operation
     * @param outcome effect of the record
     */
    public record Step(ConfigFold fold, Outcome outcome) {
        public Step {
            Objects.requireNonNull(fold, "fold");
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    private record Pending(long offset, ConfigRecord.Update update) {}
}
