package org.masticcroft.kernel.event;

import com.google.common.flogger.FluentLogger;
import java.util.Objects;

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
        LOGGER.atInfo().log("%s", format(event, keysAndValues));
    }

    /** Logs an event at warning level; see {@link #info}. */
    public static void warn(Event event, Object... keysAndValues) {
        LOGGER.atWarning().log("%s", format(event, keysAndValues));
    }

    /** Logs an event with the stack trace of its cause at severe level; see {@link #info}. */
    public static void error(Event event, Throwable cause, Object... keysAndValues) {
        LOGGER.atSevere().withCause(cause).log("%s", format(event, keysAndValues));
    }

    /** Returns the line of an event without time and level. */
    public static String format(Event event, Object... keysAndValues) {
        Objects.requireNonNull(event, "event");
        StringBuilder line =
                new StringBuilder("E").append(event.number()).append(' ').append(event.name());
        for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
            line.append(' ').append(keysAndValues[i]).append('=').append(quoted(String.valueOf(keysAndValues[i + 1])));
        }
        return line.toString();
    }

    private static String quoted(String value) {
        boolean plain = !value.isEmpty() && value.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=');
        return plain
                ? value
                : '"' + value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
    }
}
