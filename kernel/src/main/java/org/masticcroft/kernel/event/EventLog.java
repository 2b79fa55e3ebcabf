package org.masticcroft.kernel.event;

import com.google.common.flogger.FluentLogger;

/** Writes events to the log of the process, one structured line each; see {@link EventLine} for the format. */
public final class EventLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private EventLog() {}

    /**
     * Logs an event at info level.
     *
     * @param event the event
     * @param keysAndValues alternating field names and values
     */
    public static void info(Event event, Object... keysAndValues) {
        LOGGER.atInfo().log("%s", EventLine.format(event, keysAndValues));
    }

    /** Logs an event at warning level; see {@link #info}. */
    public static void warn(Event event, Object... keysAndValues) {
        LOGGER.atWarning().log("%s", EventLine.format(event, keysAndValues));
    }

    /** Logs an event at severe level with the stack trace of its cause; see {@link #info}. */
    public static void error(Event event, Throwable cause, Object... keysAndValues) {
        LOGGER.atSevere().withCause(cause).log("%s", EventLine.format(event, keysAndValues));
    }
}
