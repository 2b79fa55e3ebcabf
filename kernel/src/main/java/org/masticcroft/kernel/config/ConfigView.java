package org.masticcroft.kernel.config;

import java.time.Duration;

/** A process's view of the configuration in force, and how recently it was confirmed. */
public interface ConfigView {
    /** Longest time since the last successful read of the log for which the configuration counts as confirmed. */
    Duration CONFIRMATION_BOUND = Duration.ofSeconds(5);

    /** Returns the newest known state; its version never decreases. */
    ConfigState state();

    /** Returns the time since the state was last confirmed against the log. */
    Duration age();

    /** Returns whether the state was confirmed against the log within {@link #CONFIRMATION_BOUND}. */
    default boolean confirmed() {
        return age().compareTo(CONFIRMATION_BOUND) <= 0;
    }

    /** Returns whether any configuration version is known. */
    default boolean available() {
        return state().version() > 0;
    }
}
