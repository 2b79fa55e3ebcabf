package org.masticcroft.harness.history;

import java.util.Objects;

/**
 * An event that a script wrote into the history.
 *
 * @param timeMs wall clock in epoch ms
 * @param kind one of the constants here; others are kept and shown in trails
 * @param name what it concerns: an upstream, an entry or a configuration version
 */
public record Mark(long timeMs, String kind, String name) {
    /** The named upstream began to leave. */
    public static final String LEAVING = "leaving";

    /** The named upstream takes work again. */
    public static final String RETURNED = "returned";

    /** A planned stop of the named upstream or entry began. */
    public static final String STOP_BEGIN = "stop-begin";

    /** The planned stop ended. */
    public static final String STOP_END = "stop-end";

    /** The configuration version in the name was accepted. */
    public static final String CONFIG_ACCEPTED = "config-accepted";

    /** A new process took the address of the named entry. */
    public static final String STARTED = "started";

    /** A fault that may break requests began. */
    public static final String FAULT_BEGIN = "fault-begin";

    /** The fault ended. */
    public static final String FAULT_END = "fault-end";

    /** Checks that an accepted configuration is named by its version. */
    public Mark {
        Objects.requireNonNull(kind, "kind");
        name = name == null ? "" : name;
        if (kind.equals(CONFIG_ACCEPTED) && !name.matches("\\d{1,18}")) {
            throw new IllegalArgumentException("a config-accepted mark names a version number, not: " + name);
        }
    }
}
