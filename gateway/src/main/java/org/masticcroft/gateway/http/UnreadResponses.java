package org.masticcroft.gateway.http;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the memory for responses that wait because callers do not read them, over all connections. Above the bound,
 * the connection with most unread bytes is closed. Used on the event loop only.
 */
final class UnreadResponses {
    private final long limitBytes;

    /** Unread bytes of each connection as of its last write; it may have fewer by now. */
    private final Map<Connection, Long> unread = new HashMap<>();

    private long usedBytes;
    private long closed;

    /** Creates a bound of the given number of bytes. */
    UnreadResponses(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns how many connections were closed so far because of the bound. */
    long closed() {
        return closed;
    }

    /** Notes that a response was written to a connection. May close connections, also this one. */
    void written(Connection connection) {
        update(connection);
        if (usedBytes <= limitBytes) {
            return;
        }
        for (Connection known : unread.keySet().toArray(Connection[]::new)) {
            update(known);
        }
        while (usedBytes > limitBytes) {
            Connection largest = unread.entrySet().stream()
                    .max(Comparator.comparingLong(Map.Entry::getValue))
                    .orElseThrow()
                    .getKey();
            remove(largest);
            closed++;
            largest.closeUnread();
        }
    }

    /** Forgets a connection that has ended. */
    void remove(Connection connection) {
        Long bytes = unread.remove(connection);
        usedBytes -= bytes == null ? 0 : bytes;
    }

    private void update(Connection connection) {
        remove(connection);
        long bytes = connection.unsentBytes();
        if (bytes > 0) {
            unread.put(connection, bytes);
            usedBytes += bytes;
        }
    }

    /** A connection with responses. */
    interface Connection {
        /** Returns the number of response bytes that wait in this process. */
        long unsentBytes();

        /** Closes the connection and drops what is unread. */
        void closeUnread();
    }
}
