package org.masticcroft.standins.platform;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One keyed topic: an append-only log that keeps the newest record of each key even after its history is deleted. */
public final class KeyedLog {
    private static final byte[] NO_CONTENT = new byte[0];

    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, Long> newestOffsets = new TreeMap<>();
    private long firstOffset;

    synchronized KeyedLog copy() {
        KeyedLog copy = new KeyedLog();
        copy.entries.addAll(entries);
        copy.newestOffsets.putAll(newestOffsets);
        copy.firstOffset = firstOffset;
        return copy;
    }

    /** Appends a record and returns its offset; an empty value deletes the key. */
    synchronized long append(String key, byte[] value) {
        long offset = endOffset();
        entries.add(new Entry(offset, key, value));
        if (value.length == 0) {
            newestOffsets.remove(key);
        } else {
            newestOffsets.put(key, offset);
        }
        notifyAll();
        return offset;
    }

    /** Appends a record without content. */
    synchronized void appendEmptyRecord() {
        entries.add(new Entry(endOffset(), "", NO_CONTENT));
        notifyAll();
    }

    /** Deletes the records before an offset; the newest one of each key stays readable by key. */
    synchronized void expire(long offset) {
        firstOffset = Math.max(firstOffset, Math.min(offset, endOffset()));
    }

    synchronized long firstOffset() {
        return firstOffset;
    }

    synchronized long endOffset() {
        return entries.size();
    }

    synchronized Map<String, Entry> newest() {
        Map<String, Entry> all = new LinkedHashMap<>();
        newestOffsets.forEach((key, offset) -> all.put(key, entries.get((int) (long) offset)));
        return all;
    }

    /** Waits until a record at or after an offset exists, at most {@code waitMillis}. */
    synchronized void await(long from, long waitMillis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
        while (endOffset() <= from) {
            long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
            if (remainingMillis <= 0) {
                return;
            }
            wait(remainingMillis);
        }
    }

    /** Encodes the end offset, the first retained offset, and the records from an offset on. */
    synchronized byte[] encode(long from) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(endOffset());
        out.writeLong(firstOffset);
        for (long offset = from; offset < endOffset(); offset++) {
            Entry entry = entries.get((int) offset);
            if (entry.value() == NO_CONTENT) {
                out.writeInt(0);
                continue;
            }
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + entry.value().length);
            out.writeByte(key.length);
            out.write(key);
            out.write(entry.value());
        }
        return bytes.toByteArray();
    }

    record Entry(long offset, String key, byte[] value) {}
}
