package org.masticcroft.account.writer;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.masticcroft.account.batch.BatchHeader.Gap;

/**
 * Numbered records that wait to be sealed. At the bound the oldest records are dropped and counted as a gap, so that
 * the newest evidence survives an outage. Guarded by the lock of its user.
 */
final class RecordBuffer {
    private final long boundBytes;
    private final Deque<Entry> entries = new ArrayDeque<>();
    private long bytes;
    private long nextNumber;
    private Optional<Gap> gap = Optional.empty();

    RecordBuffer(long boundBytes) {
        this.boundBytes = boundBytes;
    }

    /** Adds a record; returns whether older records were dropped for it. */
    boolean add(String line, long timeMillis) {
        Entry entry = new Entry(nextNumber++, line, line.getBytes(StandardCharsets.UTF_8).length, timeMillis);
        entries.addLast(entry);
        bytes += entry.bytes;
        boolean dropped = false;
        while (bytes > boundBytes && entries.size() > 1) {
            drop();
            dropped = true;
        }
        return dropped;
    }

    /** Removes records from the front, at least one if there is any, up to the given payload size. */
    Chunk take(int payloadBytes) {
        long first = entries.isEmpty() ? nextNumber : entries.getFirst().number;
        Optional<Gap> before = gap;
        gap = Optional.empty();
        List<String> lines = new ArrayList<>();
        long taken = 0;
        while (!entries.isEmpty() && (lines.isEmpty() || taken + entries.getFirst().bytes <= payloadBytes)) {
            Entry entry = entries.removeFirst();
            taken += entry.bytes;
            lines.add(entry.line);
        }
        bytes -= taken;
        return new Chunk(first, lines, before);
    }

    boolean isEmpty() {
        return entries.isEmpty() && gap.isEmpty();
    }

    long bytes() {
        return bytes;
    }

    private void drop() {
        Entry oldest = entries.removeFirst();
        bytes -= oldest.bytes;
        gap = Optional.of(gap.map(old -> new Gap(old.first(), old.count() + 1, old.fromMillis(), oldest.timeMillis))
                .orElseGet(() -> new Gap(oldest.number, 1, oldest.timeMillis, oldest.timeMillis)));
    }

    private record Entry(long number, String line, int bytes, long timeMillis) {}

    /** Records for one batch. */
    record Chunk(long first, List<String> lines, Optional<Gap> gap) {}
}
