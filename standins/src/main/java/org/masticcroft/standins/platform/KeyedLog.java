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

/** One keyed topic: an append-only log of which the newest record of each key is kept for good. */
final class KeyedLog {
    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, Long> newest = new TreeMap<>();
    private long first;

    /** Appends a record; an empty value drops the key. */
    synchronized long append(String key, byte[] value) {
        long offset = end();
        entries.add(new Entry(offset, key, value));
        if (value.length == 0) {
            newest.remove(key);
        } else {
            newest.put(key, offset);
        }
        notifyAll();
        return offset;
    }

    /** Deletes the records before an offset; the newest one of each key stays readable by key. */
    synchronized void expire(long before) {
        first = Math.max(first, Math.min(before, end()));
    }

    synchronized long first() {
        return first;
    }

    synchronized long end() {
        return entries.size();
    }

    synchronized Map<String, Entry> newest() {
        Map<String, Entry> all = new LinkedHashMap<>();
        newest.forEach((key, offset) -> all.put(key, entries.get((int) (long) offset)));
        return all;
    }

    /** Waits until a record at or after an offset exists, or the time is up. */
    synchronized void await(long from, long waitMillis) throws InterruptedException {
        long until = System.nanoTime() + waitMillis * 1_000_000;
        while (end() <= from) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                return;
            }
            wait(left);
        }
    }

    /** Encodes end, first offset and the records from an offset on. */
    synchronized byte[] encode(long from) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(end());
        out.writeLong(first);
        for (long offset = from; offset < end(); offset++) {
            Entry entry = entries.get((int) offset);
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
