package org.masticcroft.account.writer;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.masticcroft.account.batch.BatchHeader.Gap;

/**
 * Numbered records that wait to be sealed. When the buffer is full, the oldest records are dropped and counted as a
 * gap, so that the newest ones survive an outage of the log. Not thread-safe: callers must hold a lock.
 */
final class RecordBuffer {
    private final long maxBytes;
    private final Deque<BufferedRecord> records = new ArrayDeque<>();
    private long bytes;
    private long nextNumber;
    private Optional<Gap> gap = Optional.empty();

    RecordBuffer(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds a record. Returns whether older records were dropped to make room. */
    boolean add(String line, long timeMillis) {
        BufferedRecord buffered =
                new BufferedRecord(nextNumber++, line, line.getBytes(StandardCharsets.UTF_8).length, timeMillis);
        records.addLast(buffered);
        bytes += buffered.bytes;
        boolean dropped = false;
        while (bytes > maxBytes && records.size() > 1) {
            dropOldest();
            dropped = true;
        }
        return dropped;
    }

    /** Removes the oldest records up to the given payload size, but at least one unless the buffer is empty. */
    BatchContent takeBatch(int maxPayloadBytes) {
        long first = firstNumber();
        Optional<Gap> precedingGap = gap;
        gap = Optional.empty();
        List<String> lines = new ArrayList<>();
        long takenBytes = 0;
        while (!records.isEmpty() && (lines.isEmpty() || takenBytes + records.getFirst().bytes <= maxPayloadBytes)) {
            BufferedRecord buffered = records.removeFirst();
            takenBytes += buffered.bytes;
            lines.add(buffered.line);
        }
        bytes -= takenBytes;
        return new BatchContent(first, lines, precedingGap);
    }

    /** Returns the number of the oldest record, or of the next one if the buffer is empty. */
    long firstNumber() {
        return records.isEmpty() ? nextNumber : records.getFirst().number;
    }

    /** Returns the number of the next record. */
    long nextNumber() {
        return nextNumber;
    }

    boolean isEmpty() {
        return records.isEmpty() && gap.isEmpty();
    }

    long bytes() {
        return bytes;
    }

    private void dropOldest() {
        BufferedRecord oldest = records.removeFirst();
        bytes -= oldest.bytes;
        gap = Optional.of(gap.map(open -> new Gap(open.first(), open.count() + 1, open.fromMillis(), oldest.timeMillis))
                .orElseGet(() -> new Gap(oldest.number, 1, oldest.timeMillis, oldest.timeMillis)));
    }

    private record BufferedRecord(long number, String line, int bytes, long timeMillis) {}

    /**
     * Content of one batch.
     *
     * @param first number of the first record
     * @param lines records as JSON lines
     * @param gap records that were dropped immediately before the first one, if any
     */
    record BatchContent(long first, List<String> lines, Optional<Gap> gap) {}
}
