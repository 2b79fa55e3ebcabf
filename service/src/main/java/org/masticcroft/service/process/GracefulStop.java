package org.masticcroft.service.process;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.lifecycle.Role;

/** The steps of a planned stop, in the order that cuts off no request in progress. */
public final class GracefulStop {
    private final Role role;
    private final AutoCloseable httpServer;
    private final List<AutoCloseable> rest;
    private final Duration drainDeadline;

    private GracefulStop(Role role, AutoCloseable httpServer, List<AutoCloseable> rest, Duration drainDeadline) {
        this.role = role;
        this.httpServer = httpServer;
        this.rest = rest;
        this.drainDeadline = drainDeadline;
    }

    /**
     * Creates a stop.
     *
     * @param role the role to drain
     * @param httpServer closing it waits for the responses in progress
     * @param rest closed last, in order
     * @param drainDeadline longest time for the work in progress
     */
    public static GracefulStop of(
            Role role, AutoCloseable httpServer, List<AutoCloseable> rest, Duration drainDeadline) {
        return new GracefulStop(
                Objects.requireNonNull(role, "role"),
                Objects.requireNonNull(httpServer, "httpServer"),
                List.copyOf(rest),
                Objects.requireNonNull(drainDeadline, "drainDeadline"));
    }

    /** Stops everything; returns when it has stopped. */
    public void run() {
        EventLog.info(Event.PROCESS_DRAINING, "deadline_s", drainDeadline.toSeconds());
        role.beginDrain();
        boolean drained = role.awaitDrained(drainDeadline);
        if (drained) {
            // The role must still answer requests that arrive until the HTTP server has stopped accepting them.
            closeQuietly(httpServer);
            closeQuietly(role);
        } else {
            closeQuietly(role);
            closeQuietly(httpServer);
        }
        rest.forEach(GracefulStop::closeQuietly);
        EventLog.info(Event.PROCESS_STOPPED, "drained", drained);
    }

    private static void closeQuietly(AutoCloseable part) {
        try {
            part.close();
        } catch (Exception e) {
            EventLog.error(Event.INTERNAL_ERROR, e, "component", "graceful-stop");
        }
    }
}
