package org.masticcroft.service.process;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.lifecycle.Role;

/** Performs the steps of a planned stop in an order that interrupts no request in progress. */
public final class GracefulStop {
    private final Role role;
    private final AutoCloseable httpServer;
    private final List<AutoCloseable> others;
    private final Duration drainDeadline;

    private GracefulStop(Role role, AutoCloseable httpServer, List<AutoCloseable> others, Duration drainDeadline) {
        this.role = role;
        this.httpServer = httpServer;
        this.others = others;
        this.drainDeadline = drainDeadline;
    }

    /**
     * Creates a stop.
     *
     * @param role the role to drain
     * @param httpServer the HTTP server; closing it waits for the responses in progress
     * @param others further components, closed last and in this order
     * @param drainDeadline longest time to wait for the work in progress
     */
    public static GracefulStop of(
            Role role, AutoCloseable httpServer, List<AutoCloseable> others, Duration drainDeadline) {
        return new GracefulStop(
                Objects.requireNonNull(role, "role"),
                Objects.requireNonNull(httpServer, "httpServer"),
                List.copyOf(others),
                Objects.requireNonNull(drainDeadline, "drainDeadline"));
    }

    /** Stops all components and returns once they have stopped. */
    public void run() {
        EventLog.info(Event.PROCESS_DRAINING, "deadline_s", drainDeadline.toSeconds());
        role.beginDrain();
        boolean drained = role.awaitDrained(drainDeadline);
        if (drained) {
            // The role must respond to requests until the HTTP server has stopped accepting them.
            closeQuietly(httpServer);
            closeQuietly(role);
        } else {
            closeQuietly(role);
            closeQuietly(httpServer);
        }
        others.forEach(GracefulStop::closeQuietly);
        EventLog.info(Event.PROCESS_STOPPED, "drained", drained);
    }

    private static void closeQuietly(AutoCloseable component) {
        try {
            component.close();
        } catch (Exception e) {
            EventLog.error(Event.INTERNAL_ERROR, e, "component", "graceful-stop");
        }
    }
}
