package org.masticcroft.gateway.http;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the number of callers' connections, so that callers who send at once get through. Above the bound, the
 * connection that was used the longest ago is closed, of those without an open request or with an unread response. Used
 * on the event loop only.
 */
final class ConnectionBudget {
    private final int limit;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private long closed;

    /** Creates a bound of the given number of connections. */
    ConnectionBudget(int limit) {
        this.limit = limit;
    }

    int limit() {
        return limit;
    }

    /** Returns the number of open connections. */
    int open() {
        return connections.size();
    }

    /** Returns how many connections were closed so far because of the bound. */
    long closed() {
        return closed;
    }

    /** Adds a new connection. Closes another one, or this one if all others are in use, if it is too many. */
    void add(Connection connection) {
        Connection leastUsed = connections.size() < limit ? null : leastUsed(connection);
        connections.add(connection);
        if (leastUsed != null) {
            connections.remove(leastUsed);
            closed++;
            leastUsed.closeUnused();
        }
    }

    /** Removes a connection that has ended. */
    void remove(Connection connection) {
        connections.remove(connection);
    }

    private Connection leastUsed(Connection added) {
        Connection leastUsed = added;
        for (Connection connection : connections) {
            if (!connection.inUse()
                    && (leastUsed == added || connection.lastActiveNanos() - leastUsed.lastActiveNanos() < 0)) {
                leastUsed = connection;
            }
        }
        return leastUsed;
    }

    /** A connection of a caller. */
    interface Connection {
        /** Returns whether a request is open on the connection and its caller reads the response. */
        boolean inUse();

        /** Returns the monotonic time in nanoseconds of the last request or response. */
        long lastActiveNanos();

        /** Closes the connection. */
        void closeUnused();
    }
}
