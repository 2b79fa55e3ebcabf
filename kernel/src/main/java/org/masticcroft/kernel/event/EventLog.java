package org.masticcroft.kernel.event;

import com.google.common.flogger.FluentLogger;

/** Writes numbered events as structured log lines of the form {@code E1200 ROUTING_DECISION key=value ...}. */
public final class EventLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private EventLog() {}

    /**
     * Logs an event at info level.
     *
     * @param event the event
     * @param keysAndValues alternating field names and values; a value with spaces is quoted
     */
    public static void info(Event event, Object... keysAndValues) {
        LOGGER.atInfo().log("%s", EventLine.format(event, keysAndValues));
    }

    /** Logs an event at warning level; see {@link #info}. */
    public static void warn(Event event, Object... keysAndValues) {
        LOGGER.atWarning().log("%s", EventLine.format(event, keysAndValues));
    }

    /** Logs an event with the stack trace of its cause at severe level; see {@link #info}. */
    public static void error(Event event, Throwable cause, Object... keysAndValues) {
        LOGGER.atSevere().withCause(cause).log("%s", EventLine.format(event, keysAndValues));
    }
}
