package org.masticcroft.gateway.account;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.masticcroft.kernel.time.TimeSource;

/**
 * The batches that the store acknowledged lately, oldest first. The store loses acknowledged records only if it comes
 * back from an older copy, and these are then appended again. Used on the event loop only.
 */
final class AppendedBatches {
    /** Time for which a batch is kept: the age of a copy and the outage before its use, some seconds each. */
    static final Duration RETENTION = Duration.ofSeconds(60);

    /** Most bytes of kept batches, before the oldest are dropped; about a hundredth of the heap of an entry. */
    static final int MAX_BYTES = 1 << 20;

    private final TimeSource time;
    private final Deque<Batch> batches = new ArrayDeque<>();
    private int bytes;

    AppendedBatches(TimeSource time) {
        this.time = time;
    }

    /** Adds a batch, or notes that the store acknowledged it again. */
    void add(String key, byte[] data) {
        for (Batch batch : batches) {
            if (batch.key.equals(key)) {
                batch.acknowledgedNanos = time.nanoTime();
                return;
            }
        }
        batches.addLast(new Batch(key, data, time.nanoTime()));
        bytes += data.length;
        removeOld();
    }

    /** Returns the batches that are kept, in the order in which they were appended. */
    List<Batch> all() {
        removeOld();
        return new ArrayList<>(batches);
    }

    private void removeOld() {
        while (!batches.isEmpty()
                && (bytes > MAX_BYTES
                        || time.since(batches.peekFirst().acknowledgedNanos).compareTo(RETENTION) > 0)) {
            bytes -= batches.removeFirst().data.length;
        }
    }

    /** A batch with the key under which it was appended. */
    static final class Batch {
        private final String key;
        private final byte[] data;
        private long acknowledgedNanos;

        Batch(String key, byte[] data, long acknowledgedNanos) {
            this.key = key;
            this.data = data;
            this.acknowledgedNanos = acknowledgedNanos;
        }

        String key() {
            return key;
        }

        byte[] data() {
            return data;
        }
    }
}
