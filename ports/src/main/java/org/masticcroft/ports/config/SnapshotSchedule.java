package org.masticcroft.ports.config;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.kernel.config.ConfigRecord;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Decides when a snapshot must be re-published so that a new reader always finds a place to start in the retained part
 * of the stream. Such a place is offset 0, or a snapshot of which no later record has expired. It is as old as the
 * first record that a reader of it needs. Not safe for use by many threads.
 */
final class SnapshotSchedule {
    private static final int DUE_FRACTION = 4;

    /** Entries wait a random part of this fraction of the retention time, so that mostly only one of them appends. */
    private static final int SPREAD_FRACTION = 16;

    private static final Duration LONGEST_SPREAD = Duration.ofSeconds(30);

    private final Duration retention;
    private final TimeSource time;
    private final UniformRandomProvider random;

    /** Times of the records that were read, by offset. */
    private final TreeMap<Long, Instant> times = new TreeMap<>();

    private Optional<Instant> newestStart = Optional.empty();
    private Optional<Instant> appendAt = Optional.empty();

    SnapshotSchedule(Duration retention, TimeSource time, UniformRandomProvider random) {
        this.retention = retention;
        this.time = time;
        this.random = random;
    }

    /** Takes note of a record that was read. */
    void onRecord(long offset, Instant recordTime, Optional<ConfigRecord> record) {
        times.put(offset, recordTime);
        if (offset == 0) {
            startAt(recordTime);
        }
        record.filter(ConfigRecord.Snapshot.class::isInstance)
                .map(ConfigRecord.Snapshot.class::cast)
                .filter(snapshot -> snapshot.foldedThrough() < offset)
                .map(snapshot -> times.get(snapshot.foldedThrough() + 1))
                .ifPresent(this::startAt);
    }

    /** Forgets records that the log does not retain any more. */
    void onEarliest(long earliest) {
        times.headMap(earliest).clear();
    }

    /** Returns whether to append a snapshot now. Call after each read that reached the end of the stream. */
    boolean shouldAppend() {
        Instant now = time.now();
        if (!isDue(now)) {
            appendAt = Optional.empty();
            return false;
        }
        if (appendAt.isEmpty()) {
            appendAt = Optional.of(now.plusMillis(random.nextLong(spreadMillis() + 1)));
        }
        boolean reached = !now.isBefore(appendAt.get());
        if (reached) {
            appendAt = Optional.empty();
        }
        return reached;
    }

    private boolean isDue(Instant now) {
        Duration allowed = retention.dividedBy(DUE_FRACTION);
        return newestStart.map(start -> start.plus(allowed).isBefore(now)).orElse(true);
    }

    private long spreadMillis() {
        return Math.min(retention.dividedBy(SPREAD_FRACTION).toMillis(), LONGEST_SPREAD.toMillis());
    }

    private void startAt(Instant start) {
        if (newestStart.map(start::isAfter).orElse(true)) {
            newestStart = Optional.of(start);
        }
    }
}
