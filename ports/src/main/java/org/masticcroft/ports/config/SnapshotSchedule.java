package org.masticcroft.ports.config;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.kernel.config.ConfigRecord;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Decides when a snapshot must be re-published, so that a new reader always finds a starting point in the retained part
 * of the stream. A starting point is offset 0, or a snapshot whose subsequent records are all retained. Its age is that
 * of the oldest record that a reader needs to start there. Not safe for use by many threads.
 */
final class SnapshotSchedule {
    /** A snapshot is due once the newest starting point is older than the retention time divided by this. */
    private static final int DUE_DIVISOR = 4;

    /**
     * Each entry delays a due snapshot by a random time of at most the retention time divided by this, so that usually
     * only one entry appends it.
     */
    private static final int JITTER_DIVISOR = 16;

    private static final Duration MAX_JITTER = Duration.ofSeconds(30);

    private final Duration retention;
    private final TimeSource time;
    private final UniformRandomProvider random;

    /** Times of the retained records that were read, by offset. */
    private final TreeMap<Long, Instant> recordTimes = new TreeMap<>();

    private Optional<Instant> newestStartingPoint = Optional.empty();
    private Optional<Instant> appendAt = Optional.empty();

    SnapshotSchedule(Duration retention, TimeSource time, UniformRandomProvider random) {
        this.retention = retention;
        this.time = time;
        this.random = random;
    }

    /** Updates the newest starting point from a record that was read. */
    void onRecord(long offset, Instant recordTime, Optional<ConfigRecord> record) {
        recordTimes.put(offset, recordTime);
        if (offset == 0) {
            updateNewestStartingPoint(recordTime);
        }
        record.filter(ConfigRecord.Snapshot.class::isInstance)
                .map(ConfigRecord.Snapshot.class::cast)
                .filter(snapshot -> snapshot.foldedThrough() < offset)
                .map(snapshot -> recordTimes.get(snapshot.foldedThrough() + 1))
                .ifPresent(this::updateNewestStartingPoint);
    }

    /** Removes records that the log no longer retains. */
    void onEarliest(long earliest) {
        recordTimes.headMap(earliest).clear();
    }

    /** Returns whether to append a snapshot now. Called after each read that reached the end of the stream. */
    boolean shouldAppend() {
        Instant now = time.now();
        if (!isDue(now)) {
            appendAt = Optional.empty();
            return false;
        }
        if (appendAt.isEmpty()) {
            appendAt = Optional.of(now.plusMillis(random.nextLong(maxJitterMillis() + 1)));
        }
        boolean appendNow = !now.isBefore(appendAt.get());
        if (appendNow) {
            appendAt = Optional.empty();
        }
        return appendNow;
    }

    private boolean isDue(Instant now) {
        Duration maxAge = retention.dividedBy(DUE_DIVISOR);
        return newestStartingPoint
                .map(start -> start.plus(maxAge).isBefore(now))
                .orElse(true);
    }

    private long maxJitterMillis() {
        return Math.min(retention.dividedBy(JITTER_DIVISOR).toMillis(), MAX_JITTER.toMillis());
    }

    private void updateNewestStartingPoint(Instant start) {
        if (newestStartingPoint.map(start::isAfter).orElse(true)) {
            newestStartingPoint = Optional.of(start);
        }
    }
}
