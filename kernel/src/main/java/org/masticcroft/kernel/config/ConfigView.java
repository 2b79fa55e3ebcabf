package org.masticcroft.kernel.config;

import java.time.Duration;

/** What a process knows about the configuration in force. */
public interface ConfigView {
    /** Time without a successful read of the log after which a process counts as unconfirmed. */
    Duration CONFIRMATION_BOUND = Duration.ofSeconds(5);

    /** Returns the newest state; its version never goes down. */
    ConfigState state();

    /** Returns the time since the state was last confirmed against the log. */
    Duration age();

    /** Returns whether the state was confirmed against the log within {@link #CONFIRMATION_BOUND}. */
    default boolean confirmed() {
        return age().compareTo(CONFIRMATION_BOUND) <= 0;
    }

    /** Returns whether a configuration is present at all. */
    default boolean available() {
        return state().version() > 0;
    }
}
