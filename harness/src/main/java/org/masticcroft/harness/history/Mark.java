package org.masticcroft.harness.history;

import java.util.Objects;

/**
 * An event that a script writes into the history.
 *
 * @param timeMs wall-clock time in epoch ms
 * @param kind one of the constants of this class; other kinds are kept and shown in the timelines of violations
 * @param name name of the upstream, entry or configuration version that the event concerns
 */
public record Mark(long timeMs, String kind, String name) {
    /** The named upstream began to leave. */
    public static final String LEAVING = "leaving";

    /** The named upstream accepts requests again. */
    public static final String RETURNED = "returned";

    /** A planned stop of the named upstream or entry began. */
    public static final String STOP_BEGIN = "stop-begin";

    /** The planned stop of the named upstream or entry ended. */
    public static final String STOP_END = "stop-end";

    /** The configuration version given as name was accepted. */
    public static final String CONFIG_ACCEPTED = "config-accepted";

    /** A new process was started at the address of the named entry. */
    public static final String STARTED = "started";

    /** A fault of the named upstream or entry that may break requests began. */
    public static final String FAULT_BEGIN = "fault-begin";

    /** The fault of the named upstream or entry ended. */
    public static final String FAULT_END = "fault-end";

    /** Checks that a mark of an accepted configuration has a version number as its name. */
    public Mark {
        Objects.requireNonNull(kind, "kind");
        name = name == null ? "" : name;
        if (kind.equals(CONFIG_ACCEPTED) && !name.matches("\\d{1,18}")) {
            throw new IllegalArgumentException("a config-accepted mark names a version number, not: " + name);
        }
    }
}
