package org.masticcroft.standins.ledger;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import org.masticcroft.standins.http.Json;

/** Numbered entries in memory; the oldest are dropped at the bound. */
public final class Ledger {
    private final int bound;
    private final Deque<byte[]> entries = new ArrayDeque<>();
    private long next;

    private Ledger(int bound) {
        this.bound = bound;
    }

    /** Creates an empty ledger that holds at most {@code bound} entries. */
    public static Ledger of(int bound) {
        return new Ledger(bound);
    }

    /** Adds an entry, sets its {@code sequence} and returns it. */
    public synchronized long add(ObjectNode entry) {
        long sequence = next++;
        // Bytes take a fraction of the memory of a tree.
        entries.addLast(Json.bytes(entry.put("sequence", sequence)));
        if (entries.size() > bound) {
            entries.removeFirst();
        }
        return sequence;
    }

    /** Returns at most {@code max} entries from number {@code from} on, as {@code {"earliest","next","entries"}}. */
    public synchronized ObjectNode read(long from, long max) {
        long earliest = next - entries.size();
        ObjectNode page = Json.object().put("earliest", earliest);
        ArrayNode list = Json.array();
        long number = earliest;
        for (byte[] entry : entries) {
            if (number >= from && list.size() < max) {
                list.add(Json.parse(entry));
            }
            number++;
        }
        page.put("next", Math.max(earliest, Math.min(from, next)) + list.size());
        page.set("entries", list);
        return page;
    }

    /** Returns the number of entries added so far. */
    public synchronized long size() {
        return next;
    }
}
