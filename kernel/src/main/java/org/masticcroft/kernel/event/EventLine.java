package org.masticcroft.kernel.event;

import java.util.Objects;

/** Formats events as structured lines of the form {@code E1200 ROUTING_DECISION key=value ...}. */
public final class EventLine {
    private EventLine() {}

    /**
     * Formats an event without time and level.
     *
     * @param event the event
     * @param keysAndValues alternating field names and values; a value is quoted if it is empty or contains white
     *     space, a control character, a quotation mark or an equals sign
     */
    public static String format(Event event, Object... keysAndValues) {
        Objects.requireNonNull(event, "event");
        StringBuilder line =
                new StringBuilder("E").append(event.number()).append(' ').append(event.name());
        for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
            line.append(' ')
                    .append(keysAndValues[i])
                    .append('=')
                    .append(quoteIfNeeded(String.valueOf(keysAndValues[i + 1])));
        }
        return line.toString();
    }

    private static String quoteIfNeeded(String value) {
        boolean plain = !value.isEmpty() && value.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=');
        return plain
                ? value
                : '"' + value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
    }
}
