package org.masticcroft.standins.ledger;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import org.masticcroft.standins.http.Json;

/** Ledger entries in memory, numbered in sequence; the oldest are dropped beyond the maximum. */
public final class Ledger {
    private final int maxEntries;
    private final Deque<byte[]> entries = new ArrayDeque<>();
    private long nextSequence;

    private Ledger(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    /** Creates an empty ledger that holds at most {@code maxEntries} entries. */
    public static Ledger of(int maxEntries) {
        return new Ledger(maxEntries);
    }

    /** Adds an entry, sets its {@code sequence} field and returns that number. */
    public synchronized long add(ObjectNode entry) {
        long sequence = nextSequence++;
        // Serialized entries take a fraction of the memory of JSON trees.
        entries.addLast(Json.bytes(entry.put("sequence", sequence)));
        if (entries.size() > maxEntries) {
            entries.removeFirst();
        }
        return sequence;
    }

    /** Returns at most {@code max} entries from sequence {@code from} on, as {@code {"earliest","next","entries"}}. */
    public synchronized ObjectNode read(long from, long max) {
        long earliest = nextSequence - entries.size();
        ObjectNode page = Json.object().put("earliest", earliest);
        ArrayNode list = Json.array();
        long sequence = earliest;
        for (byte[] entry : entries) {
            if (sequence >= from && list.size() < max) {
                list.add(Json.parse(entry));
            }
            sequence++;
        }
        page.put("next", Math.max(earliest, Math.min(from, nextSequence)) + list.size());
        page.set("entries", list);
        return page;
    }

    /** Returns the number of entries added so far, including dropped ones. */
    public synchronized long size() {
        return nextSequence;
    }
}
