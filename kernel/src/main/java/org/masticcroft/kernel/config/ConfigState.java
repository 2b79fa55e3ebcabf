package org.masticcroft.kernel.config;

import java.util.Objects;

/**
 * The configuration version in force after a prefix of the log stream {@code config}.
 *
 * @param version version number; 0 means that nothing was published yet
 * @param config the merged configuration
 * @param foldedThrough log offset of the last record that was folded into this state; -1 if none
 */
public record ConfigState(long version, FleetConfig config, long foldedThrough) {
    public ConfigState {
        Objects.requireNonNull(config, "config");
    }

    /** Returns the state before the first publication. */
    public static ConfigState empty() {
        return new ConfigState(0, FleetConfig.empty(), -1);
    }
}
