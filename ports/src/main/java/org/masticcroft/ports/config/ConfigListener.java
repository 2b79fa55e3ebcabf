package org.masticcroft.ports.config;

import org.masticcroft.kernel.config.ConfigState;

/**
 * Receives the configuration versions that take effect in this process, in ascending order. Intermediate versions may
 * be skipped.
 */
@FunctionalInterface
public interface ConfigListener {
    /** Called at most once per version and never concurrently; must not block. */
    void onApplied(ConfigState state);
}
