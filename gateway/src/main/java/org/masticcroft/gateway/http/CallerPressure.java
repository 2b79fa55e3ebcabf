package org.masticcroft.gateway.http;

import java.util.Objects;
import org.masticcroft.gateway.config.CallerBudgets;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.metrics.ProcessMetrics;
import org.masticcroft.gateway.metrics.Series;
import org.masticcroft.kernel.event.Event;

/**
 * Owner of what the callers of a process make it hold: requests, unread responses and connections, each within its
 * budget. All servers of a process share the memory. Used on the event loop only.
 */
public final class CallerPressure {
    private final CallerBudgets budgets;
    private final RequestMemory requests;
    private final UnreadResponses unread;
    private final ConnectionBudget connections;
    private long stalledBodies;
    private long loggedRequests;
    private long loggedUnread;
    private long loggedConnections;
    private long loggedStalledBodies;

    private CallerPressure(
            CallerBudgets budgets, RequestMemory requests, UnreadResponses unread, ConnectionBudget connections) {
        this.budgets = budgets;
        this.requests = requests;
        this.unread = unread;
        this.connections = connections;
    }

    /** Creates an owner that holds nothing yet. */
    public static CallerPressure of(CallerBudgets budgets) {
        Objects.requireNonNull(budgets, "budgets");
        return new CallerPressure(
                budgets,
                new RequestMemory(budgets.requestBytes()),
                new UnreadResponses(budgets.unreadBytes()),
                new ConnectionBudget(budgets.connections()));
    }

    /** Creates an owner without bounds, for callers that are trusted. */
    public static CallerPressure unbounded() {
        return of(CallerBudgets.unbounded());
    }

    /**
     * Returns an owner for the ports for metrics and readiness. It shares the memory with this one but has connections
     * of its own, so that neither a crowd at those ports nor one at the port for callers shuts out the other.
     */
    public CallerPressure forInternalPorts() {
        return new CallerPressure(budgets, requests, unread, new ConnectionBudget(budgets.internalConnections()));
    }

    /** Exposes what is held and how often a budget was exhausted. */
    public void expose(ProcessMetrics metrics) {
        metrics.gauge(Series.of("masticcroft_caller_request_bytes"), requests::usedBytes);
        metrics.gauge(Series.of("masticcroft_caller_requests_waiting"), requests::waiting);
        metrics.gauge(Series.of("masticcroft_caller_connections"), connections::open);
        metrics.gauge(Series.of("masticcroft_caller_requests_given_up_total"), requests::givenUp);
        metrics.gauge(Series.of("masticcroft_caller_unread_closed_total"), unread::closed);
        metrics.gauge(Series.of("masticcroft_caller_connections_closed_total"), connections::closed);
        metrics.gauge(Series.of("masticcroft_caller_bodies_stalled_total"), () -> stalledBodies);
    }

    /** Logs each budget that was exhausted since the last report. */
    public void write(DecisionLog log) {
        if (requests.givenUp() > loggedRequests) {
            log.write(
                    Event.REQUESTS_OVER_BUDGET,
                    "refused",
                    requests.givenUp() - loggedRequests,
                    "held_bytes",
                    requests.usedBytes(),
                    "budget_bytes",
                    budgets.requestBytes());
            loggedRequests = requests.givenUp();
        }
        if (unread.closed() > loggedUnread) {
            log.write(
                    Event.UNREAD_RESPONSES_OVER_BUDGET,
                    "closed",
                    unread.closed() - loggedUnread,
                    "budget_bytes",
                    budgets.unreadBytes());
            loggedUnread = unread.closed();
        }
        writeConnections(log);
    }

    /** Logs what was done to connections since the last report, without what the ports share. */
    public void writeConnections(DecisionLog log) {
        if (connections.closed() > loggedConnections) {
            log.write(
                    Event.CONNECTIONS_OVER_BUDGET,
                    "closed",
                    connections.closed() - loggedConnections,
                    "budget",
                    budgets.connections());
            loggedConnections = connections.closed();
        }
        if (stalledBodies > loggedStalledBodies) {
            log.write(
                    Event.BODIES_STALLED,
                    "refused",
                    stalledBodies - loggedStalledBodies,
                    "timeout_ms",
                    budgets.bodyTimeout().toMillis());
            loggedStalledBodies = stalledBodies;
        }
    }

    CallerBudgets budgets() {
        return budgets;
    }

    RequestMemory requests() {
        return requests;
    }

    UnreadResponses unread() {
        return unread;
    }

    ConnectionBudget connections() {
        return connections;
    }

    void recordStalledBody() {
        stalledBodies++;
    }
}
